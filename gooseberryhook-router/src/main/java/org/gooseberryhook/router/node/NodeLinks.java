package org.gooseberryhook.router.node;

/** Tells whether this node has links to the targets, compared with the other nodes. */
interface NodeLinks {

  /** Links of a node that need not be compared with others. */
  NodeLinks ALWAYS_UP =
      new NodeLinks() {
        @Override
        public boolean areUp() {
          return true;
        }

        @Override
        public String figures() {
          return "";
        }
      };

  /**
   * Returns whether this node may plan the placement.
   *
   * @return false if its links are lost and a live node has better ones
   */
  boolean areUp();

  /**
   * Describes, for each service, how many targets this node reaches and how many the best of the
   * others.
   *
   * @return text for the log
   */
  String figures();
}
