package piece

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func TestNamesDependOnScopeAndPrefix(t *testing.T) {
	c := qt.New(t)
	text := []byte(strings.Repeat("abcdefgh", 10))
	scope := Scope{Organisation: "ridge", WeightVersion: "w1", Adapter: "a"}
	names := Names(scope, text, 16)
	c.Assert(names, qt.HasLen, 5)
	c.Assert(Names(scope, text[:79], 16), qt.DeepEquals, names[:4])
	c.Assert(Names(scope, text[:15], 16), qt.HasLen, 0)
	changed := append([]byte("X"), text[1:]...)
	other := Names(scope, changed, 16)
	for i := range names {
		c.Assert(other[i], qt.Not(qt.Equals), names[i])
		for j := range i {
			c.Assert(names[j], qt.Not(qt.Equals), names[i])
		}
	}
	scopes := []Scope{
		{Organisation: "lake", WeightVersion: "w1", Adapter: "a"},
		{Organisation: "ridg", WeightVersion: "ew1", Adapter: "a"},
		{Organisation: "ridge", WeightVersion: "w2", Adapter: "a"},
		{Organisation: "ridge", WeightVersion: "w1", Adapter: ""},
		{Organisation: "ridge", WeightVersion: "w1a", Adapter: ""},
	}
	for _, s := range scopes {
		c.Assert(Names(s, text, 16)[0], qt.Not(qt.Equals), names[0])
	}
}

func TestNamesArePinned(t *testing.T) {
	c := qt.New(t)
	names := Names(Scope{Organisation: "o", WeightVersion: "v"}, make([]byte, DefaultBytes), 0)
	c.Assert(names, qt.HasLen, 1)
	c.Assert(names[0].String(), qt.Equals, pinnedName)
}

func TestNamesShareExactlyTheCommonPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 9).Draw(t, "size")
		a := rapid.SliceOfN(rapid.ByteRange(0, 1), 0, 40).Draw(t, "a")
		b := rapid.SliceOfN(rapid.ByteRange(0, 1), 0, 40).Draw(t, "b")
		scope := Scope{Organisation: "o"}
		x, y := Names(scope, a, size), Names(scope, b, size)
		for i := range min(len(x), len(y)) {
			same := bytes.Equal(a[:(i+1)*size], b[:(i+1)*size])
			if same != (x[i] == y[i]) {
				t.Fatalf("piece %d: same text %v, same name %v", i, same, x[i] == y[i])
			}
		}
	})
}

func TestOpenReturnsWhatWasSealed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := drawName(t)
		generation := rapid.Uint64().Draw(t, "generation")
		data := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "data")
		got, gotGeneration, err := Open(name, Seal(name, generation, data))
		if err != nil || gotGeneration != generation || !bytes.Equal(got, data) {
			t.Fatalf("opened %x generation %d: %v", got, gotGeneration, err)
		}
	})
}

func TestDamagedSealIsNeverOpened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := drawName(t)
		data := rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "data")
		sealed := Seal(name, rapid.Uint64().Draw(t, "generation"), data)
		for cut := range sealed {
			if _, _, err := Open(name, sealed[:cut]); !errorx.IsOfType(err, ErrTruncated) {
				t.Fatalf("cut at %d of %d: %v", cut, len(sealed), err)
			}
		}
		for bit := range len(sealed) * 8 {
			damaged := bytes.Clone(sealed)
			damaged[bit/8] ^= 1 << (bit % 8)
			if _, _, err := Open(name, damaged); err == nil {
				t.Fatalf("bit %d of %d flipped and still opened", bit, len(sealed)*8)
			}
		}
		for _, tail := range [][]byte{{0}, sealed} {
			if _, _, err := Open(name, append(bytes.Clone(sealed), tail...)); !errorx.IsOfType(err, ErrTrailing) {
				t.Fatalf("tail of %d bytes: %v", len(tail), err)
			}
		}
	})
}

func TestOpenTellsTheCause(t *testing.T) {
	c := qt.New(t)
	a, b := Name{1}, Name{2}
	sealed := Seal(a, 7, []byte("data"))
	_, _, err := Open(b, sealed)
	c.Assert(errorx.IsOfType(err, ErrWrongName), qt.IsTrue)
	damaged := bytes.Clone(sealed)
	damaged[0] ^= 1
	_, _, err = Open(a, damaged)
	c.Assert(errorx.IsOfType(err, ErrMagic), qt.IsTrue)
	damaged = bytes.Clone(sealed)
	damaged[len(damaged)-1] ^= 1
	_, _, err = Open(a, damaged)
	c.Assert(errorx.IsOfType(err, ErrChecksum), qt.IsTrue)
	// A store that zero-fills the end of an unfinished write keeps the correct length.
	copy(damaged[len(damaged)-2:], []byte{0, 0})
	_, _, err = Open(a, damaged)
	c.Assert(errorx.IsOfType(err, ErrChecksum), qt.IsTrue)
}

func FuzzOpen(f *testing.F) {
	name := Name{1, 2, 3}
	sealed := Seal(name, 9, []byte("some data"))
	f.Add(sealed)
	f.Add(sealed[:HeaderSize])
	f.Add(sealed[:len(sealed)-1])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		data, generation, err := Open(name, raw)
		if err == nil && !bytes.Equal(Seal(name, generation, data), raw) {
			t.Fatalf("opened %x, which Seal doesn't produce", raw)
		}
	})
}

func BenchmarkNames(b *testing.B) {
	text := make([]byte, 32*DefaultBytes)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		Names(Scope{Organisation: "o", WeightVersion: "v"}, text, DefaultBytes)
	}
}

func drawName(t *rapid.T) Name {
	return Name(rapid.SliceOfN(rapid.Byte(), NameSize, NameSize).Draw(t, "name"))
}

// pinnedName was computed with another implementation of HMAC-SHA-256.
const pinnedName = "9a718cfb1a964ee9eb730dadbd794c7d"
