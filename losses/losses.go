// Package losses summarises the logs of gateways after an incident, when only logs are left: the
// requests that were lost by route, by reason, and by the second in which they arrived, and the
// engines' time by second.
package losses

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hollowgrade/hollowgrade/fault"
)

// Reasons other than fault codes, and the message of the log lines that are read.
const (
	InTime     = "in time"
	LateFirst  = "first event late"
	LatePause  = "pause too long"
	endMessage = "request ended"
)

// maxLineBytes bounds a line of a log, in bytes.
const maxLineBytes = 1 << 20

// entry is the part of a log line that is read.
type entry struct {
	Time        time.Time  `json:"time"`
	Message     string     `json:"msg"`
	Route       string     `json:"route"`
	Code        fault.Code `json:"code"`
	Tokens      int        `json:"prompt_tokens"`
	TookMS      int64      `json:"took_ms"`
	GoalMS      int64      `json:"goal_ms"`
	FirstMS     int64      `json:"first_ms"`
	PauseGoalMS int64      `json:"pause_goal_ms"`
	PauseMS     int64      `json:"pause_ms"`
}

// reason returns why a call failed or missed its goals, or [InTime].
func (e entry) reason() string {
	switch {
	case e.Code != "":
		return string(e.Code)
	case e.GoalMS > 0 && e.FirstMS > e.GoalMS:
		return LateFirst
	case e.PauseGoalMS > 0 && e.PauseMS > e.PauseGoalMS:
		return LatePause
	default:
		return InTime
	}
}

// Row counts the calls of one route that ended for one reason.
type Row struct {
	Route  string `json:"route"` // empty if the call had none
	Reason string `json:"reason"`
	Calls  int    `json:"calls"`
	Tokens int    `json:"prompt_tokens"` // sum of all calls
}

// Second counts the calls that arrived in one second.
type Second struct {
	At      time.Time      `json:"at"`
	Calls   int            `json:"calls"`
	Reasons map[string]int `json:"reasons"` // without calls that were in time
}

// Report is the summary of logs.
type Report struct {
	Rows       []Row          `json:"rows"`                  // the route with the most prompt tokens first
	Seconds    []Second       `json:"seconds"`               // without those in which nothing was lost
	EngineTime []EngineSecond `json:"engine_time_by_second"` // of services with prefill, without seconds in which nothing was sent or refused
	Skipped    int            `json:"skipped"`               // lines that aren't JSON objects
}

// Read makes a report from logs with a JSON object in each line. Text before the object, such as
// the name of a box, is ignored.
func Read(r io.Reader, os ...Option) (p Report, err error) {
	t := newEngineTime(os)
	rows := map[[2]string]*Row{}
	seconds := map[time.Time]*Second{}
	l := bufio.NewScanner(r)
	l.Buffer(nil, maxLineBytes)
	for l.Scan() {
		o := object(l.Text())
		e, ok := parse(o)
		if !ok || !t.add(o, e.Message) {
			p.Skipped++
			continue
		}
		if e.Message == endMessage {
			count(rows, e)
			countSecond(seconds, e)
		}
	}
	if err = l.Err(); err != nil {
		return p, fmt.Errorf("read log: %w", err)
	}
	p.Rows = sortRows(rows)
	for _, s := range seconds {
		if len(s.Reasons) > 0 {
			p.Seconds = append(p.Seconds, *s)
		}
	}
	slices.SortFunc(p.Seconds, func(a, b Second) int { return a.At.Compare(b.At) })
	p.EngineTime = t.seconds()
	return p, nil
}

// object returns the JSON object of a line, or nothing if it has none.
func object(line string) string {
	at := strings.IndexByte(line, '{')
	if at < 0 {
		return ""
	}
	return line[at:]
}

func parse(object string) (e entry, ok bool) {
	err := json.Unmarshal([]byte(object), &e)
	return e, err == nil
}

func count(rows map[[2]string]*Row, e entry) {
	k := [2]string{e.Route, e.reason()}
	w := rows[k]
	if w == nil {
		w = &Row{Route: k[0], Reason: k[1]}
		rows[k] = w
	}
	w.Calls++
	w.Tokens += e.Tokens
}

func countSecond(seconds map[time.Time]*Second, e entry) {
	at := e.Time.Add(-time.Duration(e.TookMS) * time.Millisecond).Truncate(time.Second)
	s := seconds[at]
	if s == nil {
		s = &Second{At: at, Reasons: map[string]int{}}
		seconds[at] = s
	}
	s.Calls++
	if r := e.reason(); r != InTime {
		s.Reasons[r]++
	}
}

// sortRows returns rows ordered by the prompt tokens of their routes, then by calls.
func sortRows(rows map[[2]string]*Row) (ws []Row) {
	tokens := map[string]int{}
	for _, w := range rows {
		ws = append(ws, *w)
		tokens[w.Route] += w.Tokens
	}
	slices.SortFunc(ws, func(a, b Row) int {
		return cmp.Or(cmp.Compare(tokens[b.Route], tokens[a.Route]), cmp.Compare(a.Route, b.Route),
			cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Reason, b.Reason))
	})
	return ws
}

// WriteText writes the report as tables.
func (p Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "route\treason\tcalls\tprompt tokens")
	for _, r := range p.Rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\n", cmp.Or(r.Route, "-"), describe(r.Reason), r.Calls, r.Tokens)
	}
	fmt.Fprintln(t, "\t\t\t\nsecond\tcalls\tlost\tmost for")
	for _, s := range p.Seconds {
		lost, most := s.lost()
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\n", s.At.Format(time.TimeOnly), s.Calls, lost, describe(most))
	}
	return t.Flush()
}

// lost returns how many calls weren't in time, and the most frequent reason.
func (s Second) lost() (n int, most string) {
	for r, c := range s.Reasons {
		n += c
		if c > s.Reasons[most] || c == s.Reasons[most] && r < most {
			most = r
		}
	}
	return n, most
}

// describe adds the title of a fault code.
func describe(reason string) string {
	if c := fault.Code(reason); fault.Known(c) {
		return reason + ", " + fault.Lookup(c).Title
	}
	return reason
}
