package standalone

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// nested is deeper than encoding/json decodes.
var nested = strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)

// oddEntries are entries of a list that name nothing to use.
func oddEntries() map[string]string {
	box := func(old, n string) string {
		return strings.Replace(`{"name":"x","role":"agent","hall":"h1","peer":"10.0.0.9:7000","operators":"","state":"live"}`, old, n, 1)
	}
	return map[string]string{
		"a number":                           `5`,
		"a text":                             `"x"`,
		"a list":                             `[]`,
		"null":                               `null`,
		"nothing":                            `{}`,
		"a name of another type":             box(`"x"`, `5`),
		"a number too large":                 box(`"x"`, `1e400`),
		"deeply nested":                      nested,
		"deeply nested in a known field":     box(`"h1"`, nested),
		"deeply nested in a new field":       box(`"hall"`, `"tags":`+nested+`,"hall"`),
		"a port out of range":                box("7000", "70000"),
		"a port of zero":                     box("7000", "0"),
		"a negative port":                    box("7000", "-1"),
		"an operators' port out of range":    box(`"operators":""`, `"operators":"10.0.0.9:70000"`),
		"no address":                         box("10.0.0.9:7000", ""),
		"no state":                           box(`"live"`, `""`),
		"a state that is unknown":            box(`"live"`, `"resting"`),
		"no name":                            box(`"x"`, `""`),
		"no role":                            box(`"agent"`, `""`),
		"brackets and a comma within a text": `"],[{"`,
	}
}

// list is a platform whose list of boxes can be set.
type list struct {
	*httptest.Server
	body atomic.Value // string
	log  bytes.Buffer
}

func newList(t *testing.T) *list {
	l := &list{}
	l.body.Store(`[]`)
	l.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, l.body.Load())
	}))
	t.Cleanup(l.Close)
	return l
}

func (l *list) directory() *Directory {
	g := WithLogger(log.New(&l.log))
	return NewDirectory(NewBoxes(l.URL, nil, g), nil, g)
}

func agent(n int) string {
	return fmt.Sprintf(`{"name":"a%d","role":"agent","hall":"h1","peer":"10.0.0.%d:7000","operators":"","state":"live"}`, n, n)
}

func requireAgents(t *testing.T, d *Directory, names ...string) {
	t.Helper()
	var ns []string
	for _, b := range d.Agents(t.Context()) {
		ns = append(ns, b.Name)
	}
	require.Equal(t, names, ns)
}

// Guards against entries and agents that stop following the list of boxes since one of its entries is odd.
func TestOddEntryDoesNotHoldUpTheListOfBoxes(t *testing.T) {
	for name, odd := range oddEntries() {
		t.Run(name, func(t *testing.T) {
			l := newList(t)
			d := l.directory()
			l.body.Store("[" + agent(1) + "]")
			requireAgents(t, d, "a1")
			l.body.Store("[" + odd + " , " + agent(2) + "," + odd + ",\n" + agent(3) + "]")
			requireAgents(t, d, "a2", "a3")
			requireAgents(t, d, "a2", "a3")
			require.Equal(t, 1, strings.Count(l.log.String(), "boxes not used"), l.log.String())
			require.Less(t, l.log.Len(), 1000)
		})
	}
}

// Guards against a list that cannot be read without a line in the log, and against a cut one that is taken
// for whole.
func TestListThatCannotBeRead(t *testing.T) {
	for name, doc := range map[string]string{
		"nothing":           ``,
		"an object":         `{"boxes":[]}`,
		"a cut entry":       `[` + agent(2) + `,{"name":"a3","role":"agent"`,
		"a cut list":        `[` + agent(2),
		"a cut nested list": `[` + agent(2) + `,` + nested[:20_100],
		"no JSON":           `[` + agent(2) + `,x]`,
	} {
		t.Run(name, func(t *testing.T) {
			l := newList(t)
			d := l.directory()
			l.body.Store("[" + agent(1) + "]")
			requireAgents(t, d, "a1")
			l.body.Store(doc)
			requireAgents(t, d, "a1")
			requireAgents(t, d, "a1")
			require.Equal(t, 1, strings.Count(l.log.String(), "list of boxes not read"), l.log.String())
			l.body.Store("[" + agent(2) + "]")
			requireAgents(t, d, "a2")
			require.Contains(t, l.log.String(), "list of boxes read again")
		})
	}
}

// Guards against boxes that stop following the log since one record of a page is odd.
func TestOddRecordDoesNotHoldUpTheLog(t *testing.T) {
	for name, odd := range map[string]string{
		"a number":               `5`,
		"null":                   `null`,
		"a body of another type": `{"offset":8,"time":"2026-01-02T03:04:05Z","body":{}}`,
		"an offset too large":    `{"offset":1e400,"time":"2026-01-02T03:04:05Z","body":""}`,
		"no time":                `{"offset":8,"time":"soon","body":""}`,
		"deeply nested":          nested,
	} {
		t.Run(name, func(t *testing.T) {
			l := newList(t)
			l.body.Store(`{"records":[{"offset":7,"body":"YQ=="},` + odd + `,{"offset":9,"body":"Yg=="}],"new":` + nested + `,"earliest":3,"next":10}`)
			p, err := NewLog(l.URL, nil).Read(context.Background(), 7, 10)
			require.NoError(t, err)
			require.Equal(t, hollowgrade.Page{
				Records:  []hollowgrade.Record{{Offset: 7, Body: []byte("a")}, {Offset: 8}, {Offset: 9, Body: []byte("b")}},
				Earliest: 3, Next: 10,
			}, p)
		})
	}
}
