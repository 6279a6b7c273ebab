// Package docscheck tests that the documentation for operators matches the settings, flags, table columns and error
// codes of the code, and that packages respect the boundary of the platform. Metrics are checked in package node, which
// registers them.
package docscheck
