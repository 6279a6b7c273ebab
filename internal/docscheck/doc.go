// Package docscheck tests that the documentation for operators matches the settings, flags, table columns and error
// codes of the code, that only the platform adapter depends on the platform's protocol, and that core packages do no
// network I/O. Metrics are checked in package node, which registers them.
package docscheck
