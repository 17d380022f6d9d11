package keys

import (
	"encoding/hex"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func never(string) bool { return false }

func hashes(names []string) [][]byte {
	var out [][]byte
	for _, name := range names {
		raw, _ := hex.DecodeString(Hash(name))
		out = append(out, raw)
	}
	return out
}

// Guards against a withdrawal that is lost or undone when messages are reordered, duplicated or split.
func TestMergeCommutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfN(rapid.SampledFrom(strings.Split("abcdefghij", "")), 1, 30).Draw(t, "names")
		now := time.Unix(0, 0)
		a, b := NewWithdrawals(), NewWithdrawals()
		_, err := a.Merge(now, hashes(names), never)
		must.NoError(t, err)
		for _, name := range rapid.Permutation(names).Draw(t, "order") {
			before := b.Version()
			newHashes, err := b.Merge(now, hashes([]string{name, name}), never)
			must.NoError(t, err)
			must.Eq(t, len(newHashes) == 1, b.Version() == before+1)
		}
		must.Eq(t, a.Digest(), b.Digest())

		// A peer that syncs by deltas receives every entry that the configuration does not hold, even when
		// entries are dropped in between.
		peer, version := NewWithdrawals(), int64(0)
		source := NewWithdrawals()
		recorded := map[string]bool{}
		for _, name := range names {
			_, err := source.Withdraw(now, Hash(name), "op", func(hash string) bool { return recorded[hash] })
			must.NoError(t, err)
			if rapid.Bool().Draw(t, "drop") {
				recorded[Hash(name)] = true
				source.Drop(func(hash string) bool { return recorded[hash] })
			}
			if rapid.Bool().Draw(t, "pull") {
				var delta [][]byte
				delta, version = source.Delta(version)
				_, _ = peer.Merge(now, delta, never)
			}
		}
		delta, _ := source.Delta(version)
		_, _ = peer.Merge(now, delta, never)
		for _, name := range names {
			must.True(t, peer.Withdrawn(Hash(name)) || recorded[Hash(name)])
			must.Eq(t, !recorded[Hash(name)], slices.Contains(source.Pending(now, -1), Pending{Hash(name), "op"}))
		}
	})
}

// Guards against accepting malformed hashes, against an unbounded set, and against a withdrawal that no
// node writes after the one that accepted it has departed.
func TestWithdrawalLimits(t *testing.T) {
	now := time.Unix(0, 0)
	w := NewWithdrawals()
	for _, bad := range []string{"", Hash("a")[1:], strings.ToUpper(Hash("a")), strings.Repeat("x", 64)} {
		_, err := w.Withdraw(now, bad, "op", never)
		must.ErrorIs(t, err, ErrMalformedHash)
	}
	newHashes, err := w.Merge(now, append([][]byte{{1}}, hashes([]string{"a"})...), never)
	must.ErrorIs(t, err, ErrMalformedHash)
	must.Len(t, 1, newHashes)
	must.SliceEmpty(t, w.Pending(now, -1))
	must.SliceEmpty(t, w.Pending(now, time.Second))
	pending := w.Pending(now.Add(time.Second), time.Second)
	must.Len(t, 1, pending)
	must.Eq(t, "withdraw-"+Hash("a")[:32], pending[0].ChangeID())
	_, err = w.Merge(now, hashes([]string{"b"}), func(string) bool { return true })
	must.NoError(t, err)
	must.Eq(t, 1, w.Len())
	for i := 0; err == nil; i++ {
		_, err = w.Withdraw(now, Hash(strings.Repeat("x", i%100)+strings.Repeat("y", i/100)), "op", never)
	}
	must.True(t, errors.Is(err, ErrFull))
	must.Eq(t, MaxWithdrawals, w.Len())
	must.True(t, strings.HasPrefix(Generate(), Prefix))
}

func FuzzMerge(f *testing.F) {
	f.Add([]byte("0123456789abcdef0123456789abcdef"), Hash("a"))
	f.Fuzz(func(t *testing.T, raw []byte, hash string) {
		w := NewWithdrawals()
		newHashes, _ := w.Merge(time.Time{}, [][]byte{raw}, never)
		must.Eq(t, len(raw) == HashBytes, len(newHashes) == 1)
		added, err := w.Withdraw(time.Time{}, hash, "", never)
		must.Eq(t, err == nil, w.Withdrawn(hash))
		must.True(t, !added || err == nil)
	})
}
