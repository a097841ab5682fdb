package standin

import "strings"

// InvalidStatuses are statuses that HTTP doesn't define or that answer no request of ours. net/http refuses the last two
// itself.
func InvalidStatuses() []string {
	return []string{"000", "001", "099", "+10", "101", "600", "999", "-10", "1e2"}
}

// WithStatus returns an answer with another status.
func WithStatus(answer, status string) string {
	return strings.Replace(answer, " 200 OK\r\n", " "+status+" OK\r\n", 1)
}

// InvalidFields are lines of a head whose names are none. All but the first ones, which hold a blank, are refused by
// net/http.
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
