package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
)

const (
	// MaxSnapshotBytes is the platform's size limit for a value.
	MaxSnapshotBytes = 1 << 20
	// maxDocumentBytes bounds the size of a decompressed snapshot, to protect against decompression bombs.
	maxDocumentBytes = 16 << 20
)

// EncodeSnapshot returns the document as gzip-compressed JSON.
func (d *Document) EncodeSnapshot() ([]byte, error) {
	var buffer bytes.Buffer
	zw := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(zw).Encode(d); err != nil {
		return nil, fmt.Errorf("config: encode snapshot: %w", err)
	}
	if err := zw.Close(); err != nil {
		return nil, fmt.Errorf("config: encode snapshot: %w", err)
	}
	if buffer.Len() > MaxSnapshotBytes {
		return nil, invalid("snapshot", fmt.Sprintf("%d bytes", buffer.Len()), fmt.Sprintf("must be at most %d bytes", MaxSnapshotBytes))
	}
	return buffer.Bytes(), nil
}

// DecodeSnapshot decodes the output of EncodeSnapshot.
func DecodeSnapshot(data []byte) (*Document, error) {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("config: decode snapshot: %w", err)
	}
	raw, err := io.ReadAll(io.LimitReader(zr, maxDocumentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("config: decode snapshot: %w", err)
	}
	if len(raw) > maxDocumentBytes {
		return nil, invalid("snapshot", "more bytes", fmt.Sprintf("must be at most %d bytes decompressed", maxDocumentBytes))
	}
	d := NewDocument()
	if err := json.Unmarshal(raw, d); err != nil {
		return nil, fmt.Errorf("config: decode snapshot: %w", err)
	}
	if d.Revision < 0 {
		return nil, invalid("snapshot.revision", d.Revision, "must not be negative")
	}
	if d.Workspaces == nil || d.Keys == nil || d.Routes == nil {
		return nil, invalid("snapshot", "null", "must hold objects for workspaces, keys and routes")
	}
	return d, nil
}
