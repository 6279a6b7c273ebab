// Package docscheck keeps the pages for operators true: its tests compare them
// with the settings, flags, table columns and error codes of the code. The
// metrics are compared in package node, which registers them.
package docscheck
