// Package keys generates and hashes workspace keys. Only hashes are stored or sent between nodes.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

// Prefix starts every key, so that secret scanners can find leaked keys.
const Prefix = "cgk_"

// secretBytes is the number of random bytes in a key.
const secretBytes = 24

// Generate returns a new random key.
func Generate() string {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // documented never to fail
	return Prefix + base64.RawURLEncoding.EncodeToString(secret)
}

// Hash returns the lower-case hexadecimal SHA-256 of a key.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
