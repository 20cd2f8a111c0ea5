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
 * State of one engine target: the layers it holds, its prefix cache, its batch and its faults.
 * Thread-safe.
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
   * @param maxRunning requests in the batch at most
   * @param maxCachedBlocks prompt blocks in the prefix cache at most
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
   * A change of the prefix cache.
   *
   * @param sequence number of the event, counted from 1
   * @param blockHash chained hash of the block
   * @param isStored true if the block was stored, false if it was evicted
   */
  public record CacheEvent(long sequence, long blockHash, boolean isStored) {}

  /**
   * What an engine reports of itself.
   *
   * @param targetId the target
   * @param modelId the loaded model
   * @param modelVersion the loaded version
   * @param firstLayer first layer held
   * @param endLayer index after the last layer held
   * @param running requests in the batch
   * @param maxRunning requests in the batch at most
   * @param fencingNumber highest fencing number seen
   * @param isLeaving whether the engine takes no new work
   * @param chains attempts that pass through this engine as any of their stages
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
   * Kills or revives the engine.
   *
   * @param dead true to kill it; its cache and batch are lost
   */
  public synchronized void setDead(boolean dead) {
    isDead = dead;
    if (dead) {
      cachedBlocks.clear();
      running.clear();
      chains.clear();
    }
  }

  /**
   * Tells whether the engine is dead.
   *
   * @return true if it is
   */
  public synchronized boolean isDead() {
    return isDead;
  }

  /**
   * Makes the engine hang: it takes orders and reports its state, but no chain on it goes on.
   *
   * @param hung whether it hangs
   */
  public synchronized void setHung(boolean hung) {
    isHung = hung;
  }

  /**
   * Tells whether the engine hangs.
   *
   * @return true if no chain on it goes on
   */
  public synchronized boolean isHung() {
    return isHung;
  }

  /**
   * Marks the engine as leaving.
   *
   * @param leaving the mark
   */
  public synchronized void setLeaving(boolean leaving) {
    isLeaving = leaving;
  }

  /**
   * Sets whether the engine refuses old fencing numbers; at first it does.
   *
   * @param checked false to accept every order
   */
  public synchronized void setFencingChecked(boolean checked) {
    isFencingChecked = checked;
  }

  /**
   * Returns how many load orders were carried out.
   *
   * @return the count
   */
  public synchronized int getLoadCount() {
    return loadCount;
  }

  /**
   * Notes that an attempt runs through this engine.
   *
   * @param attemptKey key of the attempt
   */
  public synchronized void addChain(String attemptKey) {
    chains.add(attemptKey);
  }

  /**
   * Notes that an attempt no longer runs through this engine.
   *
   * @param attemptKey key of the attempt
   */
  public synchronized void removeChain(String attemptKey) {
    chains.remove(attemptKey);
  }

  /**
   * Slows the engine.
   *
   * @param factor factor on its step time, at least 1 for slower
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
   * Tells whether the engine can run layers of a version now.
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
   * Takes a place in the batch.
   *
   * @param attemptKey key of the attempt
   * @return false if the batch is full
   */
  public synchronized boolean tryEnterBatch(String attemptKey) {
    if (running.size() >= maxRunning) {
      return false;
    }
    startCount++;
    return running.add(attemptKey);
  }

  /**
   * Returns how many attempts took a place in the batch so far.
   *
   * @return the count
   */
  public synchronized long getStartCount() {
    return startCount;
  }

  /**
   * Gives a place in the batch back.
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
   * Looks the prompt up in the prefix cache and stores its blocks.
   *
   * @param prompt the prompt
   * @return prompt tokens that were found
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
   * Returns cache events after a sequence number.
   *
   * @param afterSequence the number
   * @return the events that are still kept, in order
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
   * @param newModelId model to hold
   * @param newVersion version to hold
   * @param newLayers layers to hold
   * @return false if the order was refused because of its number
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
