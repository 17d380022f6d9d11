package requestid

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"sync/atomic"
	"time"
)

// minSecretSize is the minimum size of a secret in bytes, that of the truncated MAC.
const minSecretSize = macSize

// Issuer issues and verifies the ids of one incarnation. It is safe for concurrent use.
type Issuer struct {
	node        string
	incarnation uint64
	secret      []byte
	lifetime    time.Duration
	sequence    atomic.Uint64
}

// NewIssuer returns an Issuer, or an error if an argument is out of range. The secret must be random, at
// least 16 bytes long, and known only to this incarnation.
func NewIssuer(node string, incarnation uint64, secret []byte, lifetime time.Duration) (*Issuer, error) {
	if !validNodeName(node) {
		return nil, fmt.Errorf("requestid: node name %q: must be 1 to %d of a-z A-Z 0-9 . _ -", node, MaxNodeName)
	}
	if len(secret) < minSecretSize {
		return nil, fmt.Errorf("requestid: secret of %d bytes: must be at least %d", len(secret), minSecretSize)
	}
	if lifetime < time.Millisecond {
		return nil, fmt.Errorf("requestid: lifetime %v: must be at least 1ms", lifetime)
	}
	return &Issuer{node: node, incarnation: incarnation, secret: append([]byte(nil), secret...), lifetime: lifetime}, nil
}

// Issue returns a new id that is valid only for the workspace.
func (s *Issuer) Issue(now time.Time, workspace string) ID {
	issued := time.UnixMilli(now.UnixMilli())
	id := ID{
		Node:          s.node,
		Incarnation:   s.incarnation,
		Sequence:      s.sequence.Add(1),
		Issued:        issued,
		Expires:       issued.Add(s.lifetime.Truncate(time.Millisecond)),
		WorkspaceHash: hashWorkspace(workspace),
	}
	id.MAC = s.mac(id, workspace)
	return id
}

// Verify returns nil if this incarnation issued the id for the workspace, and otherwise an error that
// wraps ErrOtherHome or ErrForged.
func (s *Issuer) Verify(id ID, workspace string) error {
	if id.Node != s.node || id.Incarnation != s.incarnation {
		return fmt.Errorf("%w: %s/%d", ErrOtherHome, id.Node, id.Incarnation)
	}
	want := s.mac(id, workspace)
	if !hmac.Equal(want[:], id.MAC[:]) {
		return ErrForged
	}
	return nil
}

func (s *Issuer) mac(id ID, workspace string) (sum [macSize]byte) {
	h := hmac.New(sha256.New, s.secret)
	_, _ = h.Write(id.signedBytes())
	_, _ = h.Write([]byte(workspace))
	copy(sum[:], h.Sum(nil))
	return sum
}

func hashWorkspace(workspace string) (hash [workspaceHashSize]byte) {
	sum := sha256.Sum256([]byte(workspace))
	copy(hash[:], sum[:])
	return hash
}
