// Package routing selects the cell that runs a request: it assigns engines to
// cells, determines each cell's owner, and filters, scores and picks cells. It
// performs no I/O and reads no clock; digests, times and random seeds are arguments.
//
// Routing decisions affect latency only, not correctness: the dispatcher and the
// engine check the version again and reject requests that they may not run.
package routing
