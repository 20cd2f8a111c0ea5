/** Load generator for experiments, and benchmarks of decision logic in a single process. */
package org.gooseberryhook.load;
