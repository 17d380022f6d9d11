// Package random makes the runtime's random source available as a *rand.Rand.
package random

import "math/rand/v2"

// Shared may be used by all goroutines, because the runtime's per-thread source has no state of its own.
var Shared = rand.New(source{})

type source struct{}

// Uint64 implements rand.Source.
func (source) Uint64() uint64 { return rand.Uint64() }
