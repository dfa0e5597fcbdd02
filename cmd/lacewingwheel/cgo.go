package main

import "C" // links the program with the C library, which the platform's hosts require
