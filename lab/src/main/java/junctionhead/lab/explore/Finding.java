package junctionhead.lab.explore;

import java.util.List;

/**
 * What an explorer found.
 *
 * @param states distinct ones that were seen
 * @param settled of them, from which it was tried what becomes once faults end
 * @param wrong the first thing that must not be; empty where nothing is wrong
 * @param story the steps that led to it
 */
public record Finding(long states, long settled, String wrong, List<String> story) {}
