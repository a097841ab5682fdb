package hollowgrade

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFingerprint(t *testing.T) {
	c := Call{ID: "1", Method: "POST", Host: "h", Target: "/a?b", Body: []byte("text")}
	f := NewFingerprint("o", c)
	t.Run("does not depend on the try", func(t *testing.T) {
		d := c
		d.ID, d.Key, d.LastEventID, d.Patience = "2", "another", "7", 5
		require.Equal(t, f, NewFingerprint("o", d))
	})
	for name, change := range map[string]func(*Call) string{
		"another body":         func(c *Call) string { c.Body = []byte("texu"); return "o" },
		"another path":         func(c *Call) string { c.Target = "/b?b"; return "o" },
		"another query":        func(c *Call) string { c.Target = "/a?c"; return "o" },
		"another method":       func(c *Call) string { c.Method = "PUT"; return "o" },
		"another organisation": func(*Call) string { return "p" },
		"a shifted boundary":   func(c *Call) string { c.Host, c.Target = "h/", "a?b"; return "o" },
	} {
		t.Run(name+" gives another one", func(t *testing.T) {
			d := c
			o := change(&d)
			require.NotEqual(t, f, NewFingerprint(o, d))
		})
	}
	t.Run("is read as it is written", func(t *testing.T) {
		g, err := ParseFingerprint(f.String())
		require.NoError(t, err)
		require.Equal(t, f, g)
		_, err = ParseFingerprint("12")
		require.Error(t, err)
		require.Empty(t, Fingerprint{}.String())
	})
}

func BenchmarkFingerprint(b *testing.B) {
	for _, n := range []int{1 << 10, 1 << 20} {
		c := Call{Method: "POST", Host: "h.example", Target: "/captions/17", Body: bytes.Repeat([]byte("x"), n)}
		b.Run(fmt.Sprintf("%d KB", n>>10), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewFingerprint("organisation", c)
			}
		})
	}
}
