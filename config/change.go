package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Kind is the operation that a change performs.
type Kind string

// Kinds of changes.
const (
	PutWorkspace    Kind = "put_workspace"
	DeleteWorkspace Kind = "delete_workspace"
	PutKey          Kind = "put_key"
	WithdrawKey     Kind = "withdraw_key"
	PutRoute        Kind = "put_route"
	DeleteRoute     Kind = "delete_route"
	PutRules        Kind = "put_rules"
)

// Change is a change of a single object. Put kinds hold the object in the field of its type; the other
// kinds name it in Object.
type Change struct {
	// ID is chosen by the sender. Resending the same id returns the revision of the first commit.
	ID     string `json:"id"`
	Actor  string `json:"actor"`
	UnixMS int64  `json:"unix_ms"`
	// BaseRevision is the revision of the object that the change was based on, 0 for a new object.
	// It is ignored for WithdrawKey, because a withdrawal is valid whatever revision it was based on.
	BaseRevision int64      `json:"base_revision"`
	Kind         Kind       `json:"kind"`
	Workspace    *Workspace `json:"workspace,omitempty"`
	Key          *Key       `json:"key,omitempty"`
	Route        *Route     `json:"route,omitempty"`
	Rules        *Rules     `json:"rules,omitempty"`
	// Object is the name of the workspace or route to delete, or the hash of the key to withdraw.
	Object string `json:"object,omitempty"`
}

// CommittedChange is a log entry: a change with the revision that its commit created.
type CommittedChange struct {
	Revision int64 `json:"revision"`
	Change
}

// Limits of the document. The snapshot of a full document must fit into one platform value of 1 MB.
const (
	MaxWorkspaces = 1000
	MaxRoutes     = 1000
	// MaxKeys includes withdrawn keys. At the limit, a new key replaces the oldest withdrawn key.
	MaxKeys = 5000
	// MaxRecent is the number of change ids that the document retains: 1.3 h of changes at 19,000 a
	// day. An id resent after that counts as a new change, still protected by its base revision.
	MaxRecent = 1024
	// maxChangeBytes bounds the size of an encoded change.
	maxChangeBytes = 16 << 10
)

// ConflictError means that the object was changed after the revision that the change was based on.
type ConflictError struct {
	Object string
	// Base is the revision that the change was based on, Current the object's present revision.
	Base, Current int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: conflict on %s: change is based on revision %d, object is at revision %d", e.Object, e.Base, e.Current)
}

// DuplicateError means that a change with this id was already committed at Revision.
type DuplicateError struct {
	ID       string
	Revision int64
}

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("config: change %q is already committed at revision %d", e.ID, e.Revision)
}

// ErrGap means that the revision of a change is not the one after the document's.
var ErrGap = errors.New("config: revision is not the next one")

// ObjectName returns the type and name of the object that the change applies to.
func (c *Change) ObjectName() string {
	switch {
	case c.Kind == PutWorkspace && c.Workspace != nil:
		return "workspace/" + c.Workspace.Name
	case c.Kind == DeleteWorkspace:
		return "workspace/" + c.Object
	case c.Kind == PutKey && c.Key != nil:
		return "key/" + c.Key.SHA256
	case c.Kind == WithdrawKey:
		return "key/" + c.Object
	case c.Kind == PutRoute && c.Route != nil:
		return "route/" + c.Route.Name
	case c.Kind == DeleteRoute:
		return "route/" + c.Object
	}
	return "rules"
}

// Encode returns the JSON encoding that is stored in the log and sent to peers. The error is an
// *InvalidError if the change is too large.
func (c CommittedChange) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("config: encode change: %w", err)
	}
	if len(data) > maxChangeBytes {
		return nil, invalid("change", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("must be at most %d bytes encoded", maxChangeBytes))
	}
	return data, nil
}

// DecodeCommittedChange decodes the JSON encoding and validates the change.
func DecodeCommittedChange(data []byte) (CommittedChange, error) {
	var c CommittedChange
	if len(data) > maxChangeBytes {
		return c, invalid("change", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("must be at most %d bytes encoded", maxChangeBytes))
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return CommittedChange{}, fmt.Errorf("config: decode change: %w", err)
	}
	if c.Revision < 1 {
		return CommittedChange{}, invalid("revision", c.Revision, "must be at least 1")
	}
	if err := c.Validate(); err != nil {
		return CommittedChange{}, err
	}
	return c, nil
}

// CommittedRevision returns the revision of the change with the given id, if it is in Recent.
func (d *Document) CommittedRevision(id string) (int64, bool) {
	for i := len(d.Recent) - 1; i >= 0; i-- {
		if d.Recent[i].ID == id {
			return d.Recent[i].Revision, true
		}
	}
	return 0, false
}

// KeyByID returns the key with the given id.
func (d *Document) KeyByID(id string) (Key, bool) {
	for _, key := range d.Keys {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

// Apply returns the document that results from the change at the given revision, which must be the next
// one. It does not modify d. Errors are *DuplicateError, *ConflictError, *InvalidError, or wrap ErrGap.
func (d *Document) Apply(c Change, revision int64) (*Document, error) {
	if revision != d.Revision+1 {
		return nil, fmt.Errorf("%w: document at %d, change at %d", ErrGap, d.Revision, revision)
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	if first, ok := d.CommittedRevision(c.ID); ok {
		return nil, &DuplicateError{ID: c.ID, Revision: first}
	}
	if current := d.objectRevision(&c); c.Kind != WithdrawKey && current != c.BaseRevision {
		return nil, &ConflictError{Object: c.ObjectName(), Base: c.BaseRevision, Current: current}
	}
	next := *d
	next.Revision = revision
	if err := next.applyChange(&c, revision); err != nil {
		return nil, err
	}
	recent := d.Recent[max(0, len(d.Recent)-MaxRecent+1):]
	next.Recent = slices.Concat(recent, []RecentChange{{ID: c.ID, Revision: revision}})
	return &next, nil
}

func (d *Document) objectRevision(c *Change) int64 {
	switch c.Kind {
	case PutWorkspace:
		return d.Workspaces[c.Workspace.Name].Revision
	case DeleteWorkspace:
		return d.Workspaces[c.Object].Revision
	case PutKey:
		return d.Keys[c.Key.SHA256].Revision
	case WithdrawKey:
		return d.Keys[c.Object].Revision
	case PutRoute:
		return d.Routes[c.Route.Name].Revision
	case DeleteRoute:
		return d.Routes[c.Object].Revision
	}
	return d.Rules.Revision
}

// applyChange replaces only the map that the change affects; the others remain shared.
func (d *Document) applyChange(c *Change, revision int64) error {
	switch c.Kind {
	case PutWorkspace:
		return d.putWorkspace(*c.Workspace, revision)
	case DeleteWorkspace:
		return d.deleteWorkspace(c.Object)
	case PutKey:
		return d.putKey(*c.Key, revision)
	case WithdrawKey:
		d.withdrawKey(c.Object, revision)
	case PutRoute:
		return d.putRoute(*c.Route, revision)
	case DeleteRoute:
		return d.deleteRoute(c.Object)
	case PutRules:
		d.Rules = *c.Rules
		d.Rules.Revision = revision
	}
	return nil
}

func (d *Document) putWorkspace(w Workspace, revision int64) error {
	if _, ok := d.Workspaces[w.Name]; !ok && len(d.Workspaces) >= MaxWorkspaces {
		return invalid("workspace.name", w.Name, fmt.Sprintf("must not exceed %d workspaces", MaxWorkspaces))
	}
	if w.Weight == 0 {
		w.Weight = 1
	}
	w.Revision = revision
	d.Workspaces = maps.Clone(d.Workspaces)
	d.Workspaces[w.Name] = w
	return nil
}

func (d *Document) deleteWorkspace(name string) error {
	if _, ok := d.Workspaces[name]; !ok {
		return invalid("object", name, "must name a workspace that exists")
	}
	for _, key := range d.Keys {
		if key.Workspace == name && !key.Withdrawn {
			return invalid("object", name, fmt.Sprintf("must have no key in use, but has %q", key.ID))
		}
	}
	d.Workspaces = maps.Clone(d.Workspaces)
	delete(d.Workspaces, name)
	return nil
}

func (d *Document) putKey(k Key, revision int64) error {
	existing, exists := d.Keys[k.SHA256]
	if exists && existing.Withdrawn {
		return invalid("key.sha256", k.SHA256, "must not be that of a withdrawn key")
	}
	if exists && existing.Workspace != k.Workspace {
		return invalid("key.workspace", k.Workspace, fmt.Sprintf("must stay %q", existing.Workspace))
	}
	if _, ok := d.Workspaces[k.Workspace]; !ok {
		return invalid("key.workspace", k.Workspace, "must name a workspace that exists")
	}
	if other, ok := d.KeyByID(k.ID); ok && other.SHA256 != k.SHA256 {
		return invalid("key.id", k.ID, "must not be the id of another key")
	}
	d.Keys = maps.Clone(d.Keys)
	if !exists && !d.ensureKeyCapacity() {
		return invalid("key.id", k.ID, fmt.Sprintf("must not exceed %d keys in use", MaxKeys))
	}
	k.Withdrawn = false
	k.Revision = revision
	d.Keys[k.SHA256] = k
	return nil
}

// withdrawKey also records unknown hashes, so that a concurrent put cannot make the key valid afterwards.
func (d *Document) withdrawKey(hash string, revision int64) {
	d.Keys = maps.Clone(d.Keys)
	key, ok := d.Keys[hash]
	if !ok {
		// If all keys are in use, the withdrawal is stored in excess of MaxKeys; the limit still
		// applies to puts.
		_ = d.ensureKeyCapacity()
		key = Key{ID: "unknown-" + hash[:16], SHA256: hash}
	}
	key.Withdrawn = true
	key.Revision = revision
	d.Keys[hash] = key
}

// ensureKeyCapacity removes the withdrawn key with the lowest revision if MaxKeys is reached, and reports
// whether there is room for another key.
func (d *Document) ensureKeyCapacity() bool {
	if len(d.Keys) < MaxKeys {
		return true
	}
	var oldest Key
	for _, key := range d.Keys {
		if key.Withdrawn && (oldest.Revision == 0 || key.Revision < oldest.Revision) {
			oldest = key
		}
	}
	if oldest.Revision == 0 {
		return false
	}
	delete(d.Keys, oldest.SHA256)
	return true
}

func (d *Document) putRoute(r Route, revision int64) error {
	if _, ok := d.Routes[r.Name]; !ok && len(d.Routes) >= MaxRoutes {
		return invalid("route.name", r.Name, fmt.Sprintf("must not exceed %d routes", MaxRoutes))
	}
	r.Revision = revision
	d.Routes = maps.Clone(d.Routes)
	d.Routes[r.Name] = r
	return nil
}

func (d *Document) deleteRoute(name string) error {
	if _, ok := d.Routes[name]; !ok {
		return invalid("object", name, "must name a route that exists")
	}
	d.Routes = maps.Clone(d.Routes)
	delete(d.Routes, name)
	return nil
}
