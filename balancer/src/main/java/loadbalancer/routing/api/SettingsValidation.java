package loadbalancer.routing.api;

/** Validates the values of settings. */
final class SettingsValidation {
    private SettingsValidation() {}

    /**
     * Throws an exception if the value of a setting is not valid.
     *
     * @param isValid whether the value is valid
     * @param setting the name of the setting in the documentation for operators
     * @param value the value, for the message of the exception
     * @throws InvalidSettingException if the value is not valid
     */
    static void require(boolean isValid, String setting, Object value) {
        if (!isValid) {
            throw new InvalidSettingException(setting, value);
        }
    }
}
