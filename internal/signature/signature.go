// Package signature authenticates messages between nodes with HMAC-SHA256 and shared secrets.
//
// A Keyring holds several secrets: the first one signs, and all of them verify. An operator rotates a
// secret without downtime by appending the new one to the list of every node, then moving it to the
// front, then removing the old one.
package signature

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"sync/atomic"
)

// ErrInvalid means that a signature matches none of the secrets in the keyring.
var ErrInvalid = errors.New("signature: invalid")

// Size is the length of an encoded signature in bytes.
var Size = base64.RawURLEncoding.EncodedLen(sha256.Size)

// Keyring signs and verifies messages. It is safe for concurrent use.
type Keyring struct {
	secrets atomic.Pointer[[][]byte]
}

// NewKeyring returns a keyring of the secrets, of which there must be at least one.
func NewKeyring(secrets []string) *Keyring {
	k := &Keyring{}
	k.Replace(secrets)
	return k
}

// Replace replaces all secrets.
func (k *Keyring) Replace(secrets []string) {
	list := make([][]byte, 0, len(secrets))
	for _, s := range secrets {
		list = append(list, []byte(s))
	}
	k.secrets.Store(&list)
}

// Sign returns the signature over the parts.
func (k *Keyring) Sign(parts ...[]byte) string {
	return base64.RawURLEncoding.EncodeToString(sum((*k.secrets.Load())[0], parts))
}

// Verify returns ErrInvalid unless the signature over the parts matches one of the secrets.
func (k *Keyring) Verify(signature string, parts ...[]byte) error {
	got, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil {
		return ErrInvalid
	}
	for _, secret := range *k.secrets.Load() {
		if hmac.Equal(got, sum(secret, parts)) {
			return nil
		}
	}
	return ErrInvalid
}

// sum returns the HMAC over the parts. Each part is prefixed with its length, so that moving bytes from one
// part to another changes the result.
func sum(secret []byte, parts [][]byte) []byte {
	mac := hmac.New(sha256.New, secret)
	var length [8]byte
	for _, part := range parts {
		n := uint64(len(part))
		for i := range length {
			length[i] = byte(n >> (8 * i))
		}
		mac.Write(length[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}
