// Package routing decides which cell runs a request: it assigns engines to
// cells, names each cell's owner, filters the cells that may run a request,
// scores them and picks one. It has no input or output and reads no clock:
// digests, times and random numbers come in as arguments.
//
// Nothing here carries a promise. A wrong choice costs time: the dispatcher and
// the engine check the version again and refuse what they may not run.
package routing
