package main

// Importing "C" links the daemon against the C library, which the platform's
// machines ask of every program.

import "C"
