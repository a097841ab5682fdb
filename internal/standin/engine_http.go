package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/upstream"
)

// ServeHTTP serves the engine's protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case upstream.PathCompletions:
		e.serveGenerate(w, r)
	case upstream.PathLoad:
		l, err := e.Load(r.Context())
		reply(w, upstream.LoadReply(l), err)
	case upstream.PathHoldings:
		hs, err := e.Holdings(r.Context())
		reply(w, hs, err)
	case upstream.PathOrders:
		var o hollowgrade.Order
		if decodeBody(w, r, &o) {
			reply(w, struct{}{}, e.Order(r.Context(), o))
		}
	default:
		e.serveHolding(w, r)
	}
}

func (e *Engine) serveHolding(w http.ResponseWriter, r *http.Request) {
	var c upstream.HoldingCall
	if !decodeBody(w, r, &c) {
		return
	}
	switch r.URL.Path {
	case upstream.PathCancel:
		reply(w, struct{}{}, e.Cancel(r.Context(), c.ID))
	case upstream.PathReserve:
		ttl := time.Duration(c.TTLMillis) * time.Millisecond
		reply(w, struct{}{}, e.Reserve(r.Context(), c.ID, c.Tokens, ttl))
	case upstream.PathRelease:
		reply(w, struct{}{}, e.Release(r.Context(), c.ID))
	case upstream.PathExport:
		h, err := e.Export(r.Context(), c.ID)
		reply(w, upstream.HandleReply{Handle: h}, err)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var c upstream.GenerateCall
	if !decodeBody(w, r, &c) {
		return
	}
	s, err := e.Generate(r.Context(), hollowgrade.Generation{
		ID:          c.RequestID,
		Model:       c.Model,
		Prompt:      c.Prompt,
		Prefix:      c.Prefix,
		MaxTokens:   c.MaxTokens,
		Priority:    c.Priority,
		Handles:     c.Handles,
		PrefillOnly: c.HoldOnly,
		Reservation: c.Reservation,
	})
	if err != nil {
		reply(w, nil, err)
		return
	}
	defer s.Close()
	w.Header().Set("Content-Type", "text/event-stream")
	f := http.NewResponseController(w)
	_ = f.Flush()
	for {
		t, err := s.Next()
		if errors.Is(err, io.EOF) {
			_, _ = io.WriteString(w, "data: "+upstream.Done+"\n\n")
			return
		}
		v := upstream.TokenEvent{Offset: t.Offset, Text: t.Text}
		if err != nil {
			v.Error = err.Error()
		}
		if writeEvent(w, v) != nil || f.Flush() != nil || err != nil {
			return
		}
	}
}

func writeEvent(w io.Writer, v upstream.TokenEvent) (err error) {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = w.Write(append(append([]byte("data: "), b...), '\n', '\n'))
	return err
}

func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, ErrEngineDown):
		// A crashed engine sends no answer: this closes the connection.
		panic(http.ErrAbortHandler)
	case errors.Is(err, ErrNoMemory):
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
	case err != nil:
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
}
