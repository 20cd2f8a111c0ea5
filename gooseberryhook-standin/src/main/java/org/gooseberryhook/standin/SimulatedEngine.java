package org.gooseberryhook.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;
import org.gooseberryhook.state.LayerRange;

/**
 * State of one simulated engine target: the layers that it holds, its prefix cache, its batch and
 * its injected faults. {@link EngineFleet} runs chains on it, and {@link EngineStandin} serves it
 * over HTTP. Thread-safe.
 *
 * @since 0.1
 */
public final class SimulatedEngine {

  private static final int BLOCK_CHARS = 256;
  private static final int CHARS_PER_TOKEN = 4;
  private static final int MAX_CACHE_EVENTS = 10_000;

  private final String targetId;
  private final int maxRunning;
  private final Map<Long, Boolean> cachedBlocks;
  private final Set<String> running = new HashSet<>();
  private final ArrayDeque<CacheEvent> cacheEvents = new ArrayDeque<>();
  private long nextCacheSequence = 1;
  private long startCount;
  private long fencingNumber;
  private String modelId;
  private String modelVersion;
  private LayerRange layers;
  private boolean isDead;
  private boolean isLeaving;
  private boolean isHung;
  private double slowFactor = 1;
  private boolean isFencingChecked = true;
  private int loadCount;
  private final Set<String> chains = new HashSet<>();

  /**
   * Creates an engine.
   *
   * @param targetId the target
   * @param modelId the loaded model
   * @param modelVersion the loaded version
   * @param layers the layers held
   * @param maxRunning maximum number of requests in the batch
   * @param maxCachedBlocks maximum number of prompt blocks in the prefix cache
   */
  public SimulatedEngine(
      String targetId,
      String modelId,
      String modelVersion,
      LayerRange layers,
      int maxRunning,
      int maxCachedBlocks) {
    this.targetId = targetId;
    this.modelId = modelId;
    this.modelVersion = modelVersion;
    this.layers = layers;
    this.maxRunning = maxRunning;
    this.cachedBlocks =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            boolean isFull = size() > maxCachedBlocks;
            if (isFull) {
              addCacheEvent(eldest.getKey(), false);
            }
            return isFull;
          }
        };
  }

  /**
   * Change of the prefix cache.
   *
   * @param sequence sequence number of the event, starting at 1
   * @param blockHash hash of the block and of all blocks before it
   * @param isStored true if the block was stored, false if it was evicted
   */
  public record CacheEvent(long sequence, long blockHash, boolean isStored) {}

  /**
   * State that an engine reports to the router.
   *
   * @param targetId the target
   * @param modelId the loaded model
   * @param modelVersion the loaded version
   * @param firstLayer first layer held
   * @param endLayer index after the last layer held
   * @param running requests in the batch
   * @param maxRunning maximum number of requests in the batch
   * @param fencingNumber highest fencing number of an order that was carried out
   * @param isLeaving whether the engine accepts no new work
   * @param chains number of attempts that use this engine as any of their stages
   */
  public record State(
      String targetId,
      String modelId,
      String modelVersion,
      int firstLayer,
      int endLayer,
      int running,
      int maxRunning,
      long fencingNumber,
      boolean isLeaving,
      int chains) {}

  /**
   * Returns the state.
   *
   * @return the state, never null
   */
  public synchronized State getState() {
    return new State(
        targetId,
        modelId,
        modelVersion,
        layers.firstLayer(),
        layers.endLayer(),
        running.size(),
        maxRunning,
        fencingNumber,
        isLeaving,
        chains.size());
  }

  /**
   * Kills or revives the engine. Killing it clears its cache, its batch and its chains.
   *
   * @param dead true to kill it, false to revive it
   */
  public synchronized void setDead(boolean dead) {
    isDead = dead;
    if (dead) {
      cachedBlocks.clear();
      running.clear();
      chains.clear();
    }
  }

  /** Revives a dead engine as a new process that holds no model and has seen no order. */
  public synchronized void restartEmpty() {
    isDead = false;
    modelId = "";
    modelVersion = "";
    fencingNumber = 0;
  }

  /**
   * Returns whether the engine is dead.
   *
   * @return true if it is
   */
  public synchronized boolean isDead() {
    return isDead;
  }

  /**
   * Makes the engine hang: it accepts orders and reports its state, but no chain on it makes
   * progress.
   *
   * @param hung true to make it hang, false to let its chains continue
   */
  public synchronized void setHung(boolean hung) {
    isHung = hung;
  }

  /**
   * Returns whether the engine hangs.
   *
   * @return true if no chain on it makes progress
   */
  public synchronized boolean isHung() {
    return isHung;
  }

  /**
   * Sets whether the engine is leaving and so accepts no new work.
   *
   * @param leaving whether it is leaving
   */
  public synchronized void setLeaving(boolean leaving) {
    isLeaving = leaving;
  }

  /**
   * Sets whether the engine refuses orders with an old fencing number. The default is true.
   *
   * @param checked true to refuse them, false to accept every order
   */
  public synchronized void setFencingChecked(boolean checked) {
    isFencingChecked = checked;
  }

  /**
   * Returns the number of load orders that were carried out.
   *
   * @return the count
   */
  public synchronized int getLoadCount() {
    return loadCount;
  }

  /**
   * Records that an attempt uses this engine as one of its stages.
   *
   * @param attemptKey key of the attempt
   */
  public synchronized void addChain(String attemptKey) {
    chains.add(attemptKey);
  }

  /**
   * Records that an attempt no longer uses this engine.
   *
   * @param attemptKey key of the attempt
   */
  public synchronized void removeChain(String attemptKey) {
    chains.remove(attemptKey);
  }

  /**
   * Sets the factor on the step time.
   *
   * @param factor the factor; more than 1 slows the engine
   */
  public synchronized void setSlowFactor(double factor) {
    slowFactor = factor;
  }

  /**
   * Returns the factor on the step time.
   *
   * @return the factor
   */
  public synchronized double getSlowFactor() {
    return slowFactor;
  }

  /**
   * Returns whether the engine can run layers of a model version now.
   *
   * @param version the version
   * @param firstLayer first layer to run
   * @param endLayer index after the last layer to run
   * @return true if it is alive and holds exactly these layers of the version
   */
  public synchronized boolean isHolding(String version, int firstLayer, int endLayer) {
    return !isDead
        && modelVersion.equals(version)
        && layers.firstLayer() == firstLayer
        && layers.endLayer() == endLayer;
  }

  /**
   * Adds an attempt to the batch.
   *
   * @param attemptKey key of the attempt
   * @return false if the batch is full or already contains the attempt
   */
  public synchronized boolean tryEnterBatch(String attemptKey) {
    if (running.size() >= maxRunning) {
      return false;
    }
    startCount++;
    return running.add(attemptKey);
  }

  /**
   * Returns how many attempts have been added to the batch so far.
   *
   * @return the count
   */
  public synchronized long getStartCount() {
    return startCount;
  }

  /**
   * Removes an attempt from the batch.
   *
   * @param attemptKey key of the attempt
   */
  public synchronized void leaveBatch(String attemptKey) {
    running.remove(attemptKey);
  }

  /**
   * Returns the number of requests in the batch.
   *
   * @return the count
   */
  public synchronized int getRunningCount() {
    return running.size();
  }

  /**
   * Looks up a prompt in the prefix cache and stores the blocks that are missing.
   *
   * @param prompt the prompt
   * @return number of prompt tokens in the longest cached prefix
   */
  public synchronized int cachePrefix(String prompt) {
    long chainedHash = 0;
    int cachedChars = 0;
    boolean isHit = true;
    for (int start = 0; start + BLOCK_CHARS <= prompt.length(); start += BLOCK_CHARS) {
      chainedHash =
          LongHashFunction.xx3(chainedHash).hashChars(prompt.substring(start, start + BLOCK_CHARS));
      boolean isKnown = cachedBlocks.get(chainedHash) != null;
      isHit &= isKnown;
      cachedChars += isHit ? BLOCK_CHARS : 0;
      if (!isKnown) {
        cachedBlocks.put(chainedHash, Boolean.TRUE);
        addCacheEvent(chainedHash, true);
      }
    }
    return cachedChars / CHARS_PER_TOKEN;
  }

  /**
   * Returns the cache events after a sequence number. Only the latest 10 000 events are kept.
   *
   * @param afterSequence the sequence number; 0 for all events
   * @return the events in order, never null
   */
  public synchronized List<CacheEvent> getCacheEvents(long afterSequence) {
    List<CacheEvent> found = new ArrayList<>();
    for (CacheEvent event : cacheEvents) {
      if (event.sequence() > afterSequence) {
        found.add(event);
      }
    }
    return found;
  }

  /**
   * Carries out a load order.
   *
   * @param orderFencingNumber fencing number of the order
   * @param newModelId model to load
   * @param newVersion version to load
   * @param newLayers layers to load
   * @return false if the order was refused because its fencing number is lower than one already
   *     accepted
   */
  public synchronized boolean load(
      long orderFencingNumber, String newModelId, String newVersion, LayerRange newLayers) {
    if (isFencingChecked && orderFencingNumber < fencingNumber) {
      return false;
    }
    fencingNumber = Math.max(fencingNumber, orderFencingNumber);
    modelId = newModelId;
    modelVersion = newVersion;
    layers = newLayers;
    loadCount++;
    cachedBlocks.clear();
    return true;
  }

  private void addCacheEvent(long blockHash, boolean isStored) {
    cacheEvents.addLast(new CacheEvent(nextCacheSequence, blockHash, isStored));
    nextCacheSequence++;
    if (cacheEvents.size() > MAX_CACHE_EVENTS) {
      cacheEvents.removeFirst();
    }
  }
}
