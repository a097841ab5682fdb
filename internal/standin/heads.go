package standin

import "strings"

// InvalidStatuses are statuses that HTTP doesn't define, and one that answers no request of ours. net/http itself
// refuses the last two.
func InvalidStatuses() []string {
	return []string{"000", "001", "099", "+10", "101", "600", "999", "-10", "1e2"}
}

// WithStatus returns an answer with another status.
func WithStatus(answer, status string) string {
	return strings.Replace(answer, " 200 OK\r\n", " "+status+" OK\r\n", 1)
}

// InvalidFields are lines of a head that are no fields. net/http itself refuses all but the first five, whose names
// hold a blank.
func InvalidFields() []string {
	return []string{
		"A B: c", "A : c", "Content-Length : 5", "Transfer-Encoding : chunked", "Not-Executed : 1",
		"A\tB: c", "A\x00B: c", "A\x1fB: c", "A\x7fB: c", "A\"B: c", "A(B: c", "\xc3\xa9: c", ": c", "A",
		"A: \x00", "A: \x1f", "A: \x7f",
	}
}

// WithField returns an answer with a further line in its head.
func WithField(answer, line string) string {
	return strings.Replace(answer, " 200 OK\r\n", " 200 OK\r\n"+line+"\r\n", 1)
}
