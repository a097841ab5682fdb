package jsonlist

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func entries(doc string) (es []string, err error) {
	err = Each([]byte(doc), func(e json.RawMessage) { es = append(es, string(e)) })
	return es, err
}

func TestEach(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for doc, want := range map[string][]string{
		`null`:                   nil,
		`[]`:                     nil,
		` [ 1 , "a,]" ] `:        {`1`, `"a,]"`},
		`[1e400,{"a":[{}]},[]]`:  {`1e400`, `{"a":[{}]}`, `[]`},
		"[\n{\"a\" : 1}\n,null]": {`{"a" : 1}`, `null`},
		`[` + deep + `,2]`:       {deep, `2`},
	} {
		es, err := entries(doc)
		require.NoError(t, err)
		require.Equal(t, want, es)
	}
}

func TestEachRefusesWhatIsNoWholeList(t *testing.T) {
	for _, doc := range []string{``, `{}`, `5`, `[`, `[1`, `[1,`, `[{"a":1`, `[1 2]`, `[x]`, `[1,]`, `[[}]`} {
		_, err := entries(doc)
		require.Error(t, err, doc)
	}
	_, err := entries(`{"a":1}`)
	require.ErrorIs(t, err, ErrNotAList)
	_, err = entries("[" + strings.Repeat("[", maxDepth+1))
	require.ErrorIs(t, err, ErrTooDeep)
	_, err = entries(`[[1`)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against entries of which parts are taken for other entries.
func FuzzEach(f *testing.F) {
	f.Add(`[1,"a",{"b":[2]},null]`)
	f.Fuzz(func(t *testing.T, doc string) {
		es, err := entries(doc)
		var want []json.RawMessage
		if json.Unmarshal([]byte(doc), &want) != nil {
			return
		}
		require.NoError(t, err)
		require.Len(t, es, len(want))
		for i, w := range want {
			require.Equal(t, string(w), es[i])
		}
	})
}
