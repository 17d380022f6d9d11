package quarantine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// upload is a body that is not in memory at first.
type upload struct {
	content  []byte
	buffered bool
	err      error
}

func (u *upload) Buffered() bool { return u.buffered }
func (u *upload) Data() []byte   { return u.content }

func (u *upload) Beginning(n int) ([]byte, error) { return u.content[:n], nil }

func (u *upload) Buffer(limit int) error {
	u.buffered = len(u.content) <= limit && u.err == nil
	return u.err
}

var uploads = Source{Caller: "w", Method: "POST", Target: "/photos"}

// newUpload returns a body that begins like the others of its group.
func newUpload(group, number, size int) *upload {
	content := bytes.Repeat([]byte{byte(group)}, size)
	copy(content[size-20:], fmt.Sprintf("%20d", number))
	return &upload{content: content}
}

// beginning returns the fingerprint of the beginning.
func (u *upload) beginning() uint64 { return uploads.Beginning(u.content[:beginningBytes]) }

// crashWith crashes an upstream that has the whole body of an upload.
func crashWith(t *testing.T, list *List, u *upload, crash int, now time.Time) {
	t.Helper()
	tracker := NewTracker(list)
	fingerprint := u.beginning()
	ticket, decision := tracker.Start(fingerprint, 0, now)
	must.Eq(t, Run, decision.Action)
	_, err := io.Copy(io.Discard, tracker.Reader(bytes.NewReader(u.content), uploads, ticket, func() time.Time { return now }))
	must.NoError(t, err)
	must.Len(t, 2, tracker.Crash(NewCrashID("u", uint64(crash)), now))
	tracker.End(ticket, false, now)
}

// Guards against two requests with one fingerprint that differ anywhere in their bodies, and against one request that has
// two as it comes with a length or in chunks.
func TestFingerprintCoversBody(t *testing.T) {
	seen := map[uint64]string{}
	for _, size := range []int{1, 100, beginningBytes, beginningBytes + 1, 64 << 10, 200_000} {
		for _, changed := range []int{0, size / 2, size - 1} {
			content := make([]byte, size)
			content[changed]++
			fingerprint := uploads.Fingerprint(BodyHash(content))
			must.False(t, IsBeginning(fingerprint))
			if other, known := seen[fingerprint]; known && size > 1 {
				t.Fatalf("%d bytes, changed at %d: as %s", size, changed, other)
			}
			seen[fingerprint] = fmt.Sprint(size, " bytes, changed at ", changed)
		}
	}
}

// Guards against beginnings that refuse or hold requests, or that the success of one of their requests clears.
func TestBeginningIsNeverRefused(t *testing.T) {
	list := NewList(DefaultConfig())
	u := newUpload(1, 1, 100_000)
	for crash := range 5 {
		tracker := NewTracker(list)
		ticket, decision := tracker.Start(u.beginning(), 0, epoch)
		must.Eq(t, Run, decision.Action)
		_, decision = tracker.Start(u.beginning(), 0, epoch)
		must.Eq(t, Run, decision.Action, must.Sprint("requests that begin alike run at a time"))
		must.Len(t, 1, tracker.Crash(NewCrashID("u", uint64(crash)), epoch))
		tracker.End(ticket, true, epoch)
		list.Success(u.beginning(), epoch)
	}
	standing, _ := list.Standing(u.beginning(), epoch)
	must.Eq(t, Suspect, standing)
	must.SliceEmpty(t, list.Refusals(epoch))
}

// Guards against reading bodies ahead without need, beyond the bounds in memory, or without giving the room back.
func TestIdentifierReadsAhead(t *testing.T) {
	list := NewList(DefaultConfig())
	identifier := NewIdentifier(list)
	identify := func(u *upload) (uint64, func()) {
		fingerprint, release, err := identifier.Identify(uploads, u, epoch)
		must.NoError(t, err)
		return fingerprint, release
	}
	fingerprint, release := identify(newUpload(1, 1, 100_000))
	must.True(t, IsBeginning(fingerprint), must.Sprint("nothing has crashed"))
	release()
	crashWith(t, list, newUpload(1, 1, 100_000), 1, epoch)

	fingerprint, release = identify(newUpload(2, 1, 100_000))
	must.True(t, IsBeginning(fingerprint), must.Sprint("it begins in another way"))
	release()
	fingerprint, release = identify(newUpload(1, 1, maxReadAhead+1))
	must.True(t, IsBeginning(fingerprint), must.Sprint("it is too long"))
	release()
	var releases []func()
	for i := range maxReadsAhead {
		u := newUpload(1, i, 100_000)
		fingerprint, release = identify(u)
		must.Eq(t, uploads.Fingerprint(BodyHash(u.content)), fingerprint)
		releases = append(releases, release)
	}
	fingerprint, release = identify(newUpload(1, 99, 100_000))
	must.True(t, IsBeginning(fingerprint), must.Sprint("too many others are in memory"))
	release()
	for _, release := range releases {
		release()
	}
	broken := newUpload(1, 1, 100_000)
	broken.err = errors.New("broken")
	for range 2 * maxReadsAhead {
		_, _, err := identifier.Identify(uploads, broken, epoch)
		must.ErrorIs(t, err, broken.err)
	}
	must.Eq(t, 0, len(identifier.reads))
}

// Guards against an upload that crashes upstreams again and again beside others that begin alike and succeed, and against
// refusals of these. Uploads come at 4 nodes, with marks exchanged after each second.
func TestUploadsThatBeginAlike(t *testing.T) {
	const nodes = 4
	for _, test := range []struct {
		size   int
		partly bool // the upstream crashes when it has read a part of the body
		most   int  // crashes
	}{{100_000, false, 2}, {maxReadAhead + 1000, false, 2}, {100_000, true, 3}} {
		size := test.size
		worst, refused := 0, 0
		for seed := range uint64(3) {
			random := rand.New(rand.NewPCG(seed, 1))
			crashes := 0
			var lists [nodes]*List
			var trackers [nodes]*Tracker
			var identifiers [nodes]*Identifier
			for i := range nodes {
				lists[i] = NewList(DefaultConfig())
				trackers[i], identifiers[i] = NewTracker(lists[i]), NewIdentifier(lists[i])
			}
			// send runs an upload and reports whether it was refused.
			send := func(u *upload, crashing bool, now time.Time) bool {
				entry, destination := random.IntN(nodes), random.IntN(nodes)
				fingerprint, release, err := identifiers[entry].Identify(uploads, u, now)
				must.NoError(t, err)
				defer release()
				if standing, _ := lists[entry].Standing(fingerprint, now); standing == Quarantined {
					return true
				}
				ticket, decision := trackers[destination].Start(fingerprint, 0, now)
				if decision.Action == Refuse {
					return true
				}
				must.Eq(t, Run, decision.Action)
				if streamed := IsBeginning(fingerprint); streamed && (!crashing || !test.partly) {
					reader := trackers[destination].Reader(bytes.NewReader(u.content), uploads, ticket, func() time.Time { return now })
					if _, err := io.Copy(io.Discard, reader); err != nil {
						trackers[destination].End(ticket, false, now)
						return true
					}
				}
				if crashing {
					crashes++
					trackers[destination].Crash(NewCrashID("u", uint64(crashes)), now)
				}
				trackers[destination].End(ticket, !crashing, now)
				return false
			}
			for second := range 40 {
				now := epoch.Add(time.Duration(second) * time.Second)
				for range 10 {
					if send(newUpload(1, 1+random.IntN(1000), size), false, now) {
						refused++
					}
				}
				if second%4 == 3 {
					send(newUpload(1, 0, size), true, now)
				}
				for _, from := range lists {
					marks, _ := from.Changes(0, 1000)
					for _, to := range lists {
						to.Merge(marks, now)
					}
				}
			}
			worst = max(worst, crashes)
		}
		t.Logf("%+v: crashes %d at most, refusals of others %d", test, worst, refused)
		must.LessEq(t, test.most, worst)
		must.Zero(t, refused)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{beginningBytes, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			body := make([]byte, size)
			for b.Loop() {
				uploads.Fingerprint(BodyHash(body))
			}
		})
	}
}

func BenchmarkReader(b *testing.B) {
	body := make([]byte, 1<<20)
	tracker := NewTracker(NewList(DefaultConfig()))
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		ticket, _ := tracker.Start(uploads.Beginning(nil), 0, epoch)
		_, _ = io.Copy(io.Discard, tracker.Reader(bytes.NewReader(body), uploads, ticket, time.Now))
		tracker.End(ticket, true, epoch)
	}
}
