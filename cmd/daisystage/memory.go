package main

import "runtime/debug"

// memoryPercent is the part of the VM's memory that the runtime may use, in percent. The
// rest is for the program itself and for what arrives during a collection.
const memoryPercent = 70

// limitMemory makes the runtime collect garbage before the process outgrows the memory of
// its VM, in MB; 0 means that it is unknown. A lower GOMEMLIMIT stays in force.
func limitMemory(megabytes int) {
	limit := int64(megabytes) * 1e6 / 100 * memoryPercent
	if limit > 0 && limit < debug.SetMemoryLimit(-1) {
		debug.SetMemoryLimit(limit)
	}
}
