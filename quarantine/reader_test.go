package quarantine

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
)

// Guards against a body that is changed or cut on its way, and against an upstream that has the whole body before its request
// is identified.
func TestReader(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, size := range []int{0, 1, 2, 3, 100, 16<<10 - 1, 16 << 10, 16<<10 + 1, 100_000} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(random.Uint32())
		}
		for name, wrap := range map[string]func(io.Reader) io.Reader{
			"whole":          func(r io.Reader) io.Reader { return r },
			"byte by byte":   iotest.OneByteReader,
			"halves":         iotest.HalfReader,
			"end with data":  iotest.DataErrReader,
			"bytes with end": func(r io.Reader) io.Reader { return iotest.DataErrReader(iotest.OneByteReader(r)) },
		} {
			for _, quarantined := range []bool{false, true} {
				note := must.Sprint(size, " bytes, ", name, ", quarantined ", quarantined)
				var passed bytes.Buffer
				identified := 0
				r := &bodyReader{body: wrap(bytes.NewReader(body)), digest: xxhash.New(), identify: func(hash uint64) bool {
					identified++
					must.Eq(t, BodyHash(body), hash, note)
					must.True(t, size == 0 || passed.Len() < size, note)
					return quarantined
				}}
				_, err := io.CopyBuffer(struct{ io.Writer }{&passed}, r, make([]byte, 1+random.IntN(5000)))
				must.Eq(t, 1, identified, note)
				if quarantined {
					must.ErrorIs(t, err, ErrQuarantined, note)
					must.True(t, size == 0 || passed.Len() < size, note)
					must.True(t, bytes.HasPrefix(body, passed.Bytes()), note)
					continue
				}
				must.NoError(t, err, note)
				must.True(t, bytes.Equal(body, passed.Bytes()), note)
				n, err := r.Read(make([]byte, 1))
				must.Eq(t, 0, n, note)
				must.ErrorIs(t, err, io.EOF, note)
			}
		}
	}
}

// Guards against taking a body that broke off for a whole one.
func TestReaderOfTruncatedBody(t *testing.T) {
	broken := errors.New("broken")
	r := &bodyReader{body: io.MultiReader(bytes.NewReader([]byte("part")), iotest.ErrReader(broken)), digest: xxhash.New(), identify: func(uint64) bool {
		t.Fatal("identified")
		return false
	}}
	data, err := io.ReadAll(r)
	must.ErrorIs(t, err, broken)
	must.Eq(t, "part", string(data))
}
