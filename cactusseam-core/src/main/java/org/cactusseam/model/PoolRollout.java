package org.cactusseam.model;

import java.util.List;

/**
 * Latest roll-out of a pool to another version. Commands of operators and the stages that the owner
 * of the pool's first shard decides are changes of this object, so that revisions order them.
 *
 * @param pool pool of backend servers
 * @param version version that receives the traffic
 * @param replaced versions that have the traffic when the command is given, sorted
 * @param durationMillis time from the command to its deadline
 * @param order log offset of the command; {@link #NOT_RECORDED} before the log contains it
 * @param deadlineMillis deadline on the clock of the log, in milliseconds since the Unix epoch; 0
 *     before the log contains the command
 * @param paused whether the operator has paused the roll-out
 * @param stage name of the stage
 * @param reason reason for the stage, for operators
 */
public record PoolRollout(
    PoolName pool,
    String version,
    List<String> replaced,
    long durationMillis,
    long order,
    long deadlineMillis,
    boolean paused,
    String stage,
    String reason)
    implements ConfigurationObject {

  /** Value of {@link #order} in a command that the log does not contain yet. */
  public static final long NOT_RECORDED = -1;

  /** Copies the list. */
  public PoolRollout {
    replaced = List.copyOf(replaced);
  }

  /**
   * Returns the identity of the roll-out of a pool.
   *
   * @param pool pool of backend servers
   * @return kind and name
   */
  public static ObjectKey keyOf(PoolName pool) {
    return new ObjectKey(ObjectKind.POOL_ROLLOUT, pool.value());
  }

  @Override
  public ObjectKey key() {
    return keyOf(pool);
  }

  /**
   * Returns this roll-out as the log has recorded it. The time to the deadline counts from the
   * record of the command, so that all daemons know the same deadline.
   *
   * @param offset log offset of the record
   * @param recordedAtMillis append time of the record, on the clock of the log
   * @return copy with the order and the deadline if this is a new command, otherwise this object
   */
  public PoolRollout recorded(long offset, long recordedAtMillis) {
    if (order != NOT_RECORDED) {
      return this;
    }
    long deadline = recordedAtMillis + durationMillis;
    return new PoolRollout(
        pool, version, replaced, durationMillis, offset, deadline, paused, stage, reason);
  }

  /**
   * Returns a copy that is paused or not.
   *
   * @param value whether the copy is paused
   * @return changed copy
   */
  public PoolRollout withPaused(boolean value) {
    return new PoolRollout(
        pool, version, replaced, durationMillis, order, deadlineMillis, value, stage, reason);
  }

  /**
   * Returns a copy in another stage.
   *
   * @param next name of the stage
   * @param why reason for the stage, for operators
   * @return changed copy
   */
  public PoolRollout withStage(String next, String why) {
    return new PoolRollout(
        pool, version, replaced, durationMillis, order, deadlineMillis, paused, next, why);
  }
}
