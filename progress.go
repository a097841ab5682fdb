package hollowgrade

import "context"

type answerBegunKey struct{}

// WithAnswerBegun returns a context for a call whose answer may take long to receive. F is called when the
// first bytes of the answer have come. It must not block.
func WithAnswerBegun(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, answerBegunKey{}, f)
}

// AnswerBegun calls the function of [WithAnswerBegun], if there is one.
func AnswerBegun(ctx context.Context) {
	if f, ok := ctx.Value(answerBegunKey{}).(func()); ok {
		f()
	}
}
