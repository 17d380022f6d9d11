// Package random provides the runtime's random source as a *rand.Rand.
package random

import "math/rand/v2"

// Shared is safe for concurrent use: source is stateless, and the runtime keeps its random state per thread.
var Shared = rand.New(source{})

type source struct{}

// Uint64 implements rand.Source.
func (source) Uint64() uint64 { return rand.Uint64() }
