// Package requestid ensures that a non-idempotent request runs at most once.
//
// A node issues request ids before their first use. Only the incarnation that issued an id, its home, may
// run the request. The home keeps a record of each presented id in memory. Its replacement has no records,
// but also must not run its ids, so neither durable storage nor consensus is needed. The cost is that
// requests with ids of a lost home end as may-have-run.
//
// Issuer issues and verifies ids, Table holds the records of the home, and SeenSet holds the call ids seen
// by a destination, which refuses calls that the network duplicated. The package owns no socket,
// goroutine, clock or random source.
package requestid

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// Errors of this package.
var (
	// ErrMalformed means that a text does not encode an id.
	ErrMalformed = errors.New("requestid: malformed id")
	// ErrForged means that the MAC of an id is wrong.
	ErrForged = errors.New("requestid: wrong MAC")
	// ErrOtherHome means that another node or another incarnation issued the id.
	ErrOtherHome = errors.New("requestid: issued by another incarnation")
)

const (
	formatVersion     = 1
	macSize           = 16
	workspaceHashSize = 8
	// headerSize is the size of version, incarnation, sequence, issue time, expiry, workspace hash and name length.
	headerSize = 1 + 4*8 + workspaceHashSize + 1

	// MaxNodeName is the maximum length of a node name in bytes.
	MaxNodeName = 64
	// maxEncodedSize is the length of the longest encoded id.
	maxEncodedSize = (headerSize + MaxNodeName + macSize + 2) / 3 * 4
	// maxUnixMilli keeps times within the range of time.Time on all platforms.
	maxUnixMilli = 1 << 48
)

// strictBase64 rejects padding and non-zero trailing bits, so that each id has exactly one encoding.
var strictBase64 = base64.RawURLEncoding.Strict()

// ID is a decoded request id. It is comparable and safe for concurrent use.
type ID struct {
	Node        string
	Incarnation uint64
	Sequence    uint64
	Issued      time.Time
	Expires     time.Time
	// WorkspaceHash is a truncated hash of the workspace name; the MAC also covers the full name.
	WorkspaceHash [workspaceHashSize]byte
	MAC           [macSize]byte
}

// String returns the encoded id, which is safe in URLs and headers.
func (id ID) String() string {
	return strictBase64.EncodeToString(append(id.signedBytes(), id.MAC[:]...))
}

// signedBytes returns the bytes that the MAC covers in addition to the workspace.
func (id ID) signedBytes() []byte {
	b := make([]byte, 0, headerSize+len(id.Node)+macSize)
	b = append(b, formatVersion)
	b = binary.BigEndian.AppendUint64(b, id.Incarnation)
	b = binary.BigEndian.AppendUint64(b, id.Sequence)
	b = binary.BigEndian.AppendUint64(b, uint64(id.Issued.UnixMilli()))
	b = binary.BigEndian.AppendUint64(b, uint64(id.Expires.UnixMilli()))
	b = append(b, id.WorkspaceHash[:]...)
	b = append(b, byte(len(id.Node)))
	return append(b, id.Node...)
}

// Decode decodes an id without verifying its MAC, which only the home can do. Errors wrap ErrMalformed.
func Decode(text string) (ID, error) {
	if len(text) > maxEncodedSize {
		return ID{}, fmt.Errorf("%w: longer than %d bytes", ErrMalformed, maxEncodedSize)
	}
	b, err := strictBase64.DecodeString(text)
	if err != nil {
		return ID{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	// The base64 decoder skips line breaks.
	if strictBase64.EncodedLen(len(b)) != len(text) {
		return ID{}, fmt.Errorf("%w: line break", ErrMalformed)
	}
	if len(b) < headerSize+1+macSize || b[0] != formatVersion {
		return ID{}, fmt.Errorf("%w: wrong length or version", ErrMalformed)
	}
	nameLength := int(b[headerSize-1])
	if nameLength > MaxNodeName || len(b) != headerSize+nameLength+macSize {
		return ID{}, fmt.Errorf("%w: wrong length", ErrMalformed)
	}
	return decodeFields(b, nameLength)
}

func decodeFields(b []byte, nameLength int) (ID, error) {
	issued := binary.BigEndian.Uint64(b[17:])
	expires := binary.BigEndian.Uint64(b[25:])
	if issued >= expires || expires > maxUnixMilli {
		return ID{}, fmt.Errorf("%w: times out of range", ErrMalformed)
	}
	id := ID{
		Node:        string(b[headerSize : headerSize+nameLength]),
		Incarnation: binary.BigEndian.Uint64(b[1:]),
		Sequence:    binary.BigEndian.Uint64(b[9:]),
		Issued:      time.UnixMilli(int64(issued)),
		Expires:     time.UnixMilli(int64(expires)),
	}
	if !validNodeName(id.Node) {
		return ID{}, fmt.Errorf("%w: node name", ErrMalformed)
	}
	copy(id.WorkspaceHash[:], b[33:])
	copy(id.MAC[:], b[headerSize+nameLength:])
	return id, nil
}

func validNodeName(name string) bool {
	if name == "" || len(name) > MaxNodeName {
		return false
	}
	for _, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '.' && c != '_' {
			return false
		}
	}
	return true
}
