// Package platform stands in for the users' platform: its store and its model
// engines, over HTTP, with the faults that they may have. Tests and corkbench
// use it; nothing that serves does.
package platform
