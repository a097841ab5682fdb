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
