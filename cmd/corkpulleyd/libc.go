package main

// Importing "C" links the daemon against the C library, as the platform requires of every program.

import "C"
