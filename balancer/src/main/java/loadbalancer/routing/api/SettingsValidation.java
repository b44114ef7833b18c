package loadbalancer.routing.api;

/** Checks of the values that settings may have. */
final class SettingsValidation {
    private SettingsValidation() {}

    /**
     * Refuses a setting whose value is not valid.
     *
     * @param isValid whether the value is valid
     * @param setting the name of the setting, as the pages of the operators give it
     * @param value named in the exception's message
     * @throws InvalidSettingException if the value is not valid
     */
    static void require(boolean isValid, String setting, Object value) {
        if (!isValid) {
            throw new InvalidSettingException(setting, value);
        }
    }
}
