// Package platform simulates the users' platform for tests and corkbench: its log store and its model engines,
// served over HTTP with injectable faults.
package platform
