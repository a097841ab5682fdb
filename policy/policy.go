// Package policy compiles and runs the short programs in which operators configure the priority of
// requests, and whether they may wait or be repeated.
//
// A program is one expression of expr-lang. Each of its branches ends in an answer: a map with
// exactly the keys class, priority, allowed, may_wait, repeatable and share. Keys and types are
// checked at compile time, so a published policy can't fail for a missing key or a wrong type.
package policy

import (
	"errors"
	"fmt"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

// Input has the properties of a request that a program can use.
type Input struct {
	Organisation string `expr:"organisation"`
	Event        string `expr:"event"`
	Phase        Phase  `expr:"phase"`
	Kind         string `expr:"kind"`
	Model        string `expr:"model"`
	Service      string `expr:"service"`
	Method       string `expr:"method"` // of a call to a plain service
	PromptTokens int    `expr:"prompt_tokens"`
	MaxTokens    int    `expr:"max_tokens"`
}

// Phase is the state of the request's event. Programs see it as a plain string.
type Phase = string

// The phases of an event.
const (
	NoEvent Phase = "none"
	Before  Phase = "before"
	During  Phase = "during"
	After   Phase = "after"
)

// maxNodes bounds the size of a program and with it its run time: without loops no node runs twice.
const maxNodes = 500

// allowedBuiltins are the functions that a program may call. None of them iterates over more than
// its argument.
var allowedBuiltins = []string{"duration", "min", "max", "lower", "hasPrefix", "hasSuffix"}

// Program is a compiled policy. It is immutable and safe for concurrent use.
type Program struct {
	name string
	text string
	code *vm.Program
}

// Compile checks and compiles a program. Errors have the line and the column and the code
// [fault.BadPolicy].
func Compile(name, text string) (p *Program, err error) {
	c := &checker{}
	os := []expr.Option{
		expr.Env(Input{}),
		expr.DisableAllBuiltins(),
		expr.MaxNodes(maxNodes),
	}
	for _, b := range allowedBuiltins {
		os = append(os, expr.EnableBuiltin(b))
	}
	code, err := expr.Compile(text, os...)
	if err != nil {
		return nil, asFault(name, text, err)
	}
	c.checkResult(code.Node())
	c.checkRanges(code.Node())
	if c.err != nil {
		return nil, asFault(name, text, c.err)
	}
	p = &Program{name: name, text: text, code: code}
	return p, p.trySamples()
}

func asFault(name, text string, err error) error {
	var f *file.Error
	if !errors.As(err, &f) {
		return fault.New(fault.BadPolicy, "%s: %v", name, err)
	}
	b := f.Bind(file.NewSource(text))
	return fault.New(fault.BadPolicy, "%s:%d:%d: %s", name, b.Line, b.Column+1, b.Message)
}

// Name returns the policy's name.
func (p *Program) Name() string {
	return p.name
}

// Text returns the source.
func (p *Program) Text() string {
	return p.text
}

// maxAllowedTime bounds the time that a policy can allow for a request.
const maxAllowedTime = 24 * time.Hour

// Decide runs the program. It fails only for values out of range, for example a share above 1, with
// the code [fault.BadPolicy].
func (p *Program) Decide(in Input) (d hollowgrade.Decision, err error) {
	out, err := expr.Run(p.code, in)
	if err != nil {
		return d, asFault(p.name, p.text, err)
	}
	m, ok := out.(map[string]any)
	if !ok {
		return d, fault.New(fault.BadPolicy, "%s: the answer is a %T", p.name, out)
	}
	return p.decision(m)
}

func (p *Program) decision(m map[string]any) (d hollowgrade.Decision, err error) {
	name, _ := m[keyClass].(string)
	c, ok := hollowgrade.ParseClass(name)
	if !ok {
		return d, fault.New(fault.BadPolicy, "%s: class is %q, allowed are instant, normal and background", p.name, name)
	}
	d.Class = c
	d.Priority, _ = m[keyPriority].(int)
	d.Allowed, _ = m[keyAllowed].(time.Duration)
	d.MayWait, _ = m[keyMayWait].(bool)
	d.Repeatable, _ = m[keyRepeatable].(bool)
	d.Share = toFloat(m[keyShare])
	switch {
	case d.Allowed <= 0 || d.Allowed > maxAllowedTime:
		return d, fault.New(fault.BadPolicy, "%s: allowed is %s, it must be above 0 and at most %s", p.name, d.Allowed, maxAllowedTime)
	case d.Share <= 0 || d.Share > 1:
		return d, fault.New(fault.BadPolicy, "%s: share is %v, it must be above 0 and at most 1", p.name, d.Share)
	case d.Priority < 0 || d.Priority >= maxPriority:
		return d, fault.New(fault.BadPolicy, "%s: priority is %d, it must be from 0 to %d", p.name, d.Priority, maxPriority-1)
	}
	return d, nil
}

const maxPriority = 1000

func toFloat(v any) float64 {
	switch n := v.(type) {
	case float64:
		return n
	case int:
		return float64(n)
	default:
		return 0
	}
}

// Sample is a request that every policy must answer before it is published.
type Sample struct {
	Title string
	Input Input
}

// Samples returns the requests that every policy is tested with: one of each kind that users send,
// in each phase of an event.
func Samples() (ss []Sample) {
	kinds := []Input{
		{Kind: "draft", Model: "m", PromptTokens: 1_000, MaxTokens: 64},
		{Kind: "digest", Model: "m", PromptTokens: 16_000, MaxTokens: 256},
		{Kind: "summary", Model: "m", PromptTokens: 1_000_000, MaxTokens: 512},
		{Kind: "receipt", Service: "push", Method: "POST"},
		{Kind: "caption", Model: "m", PromptTokens: 2_000, MaxTokens: 48},
		{Kind: "reel", Model: "m", PromptTokens: 256_000, MaxTokens: 512},
		{Kind: "lookup", Service: "catalogue", Method: "GET"},
		{Kind: "", Model: "m", PromptTokens: 4_000, MaxTokens: 128},
	}
	for _, k := range kinds {
		for _, p := range []Phase{NoEvent, Before, During, After} {
			k.Organisation, k.Event, k.Phase = "sample", "sample", p
			ss = append(ss, Sample{Title: fmt.Sprintf("%s %s an event", k.Kind, p), Input: k})
		}
	}
	return ss
}

func (p *Program) trySamples() error {
	for _, s := range Samples() {
		if _, err := p.Decide(s.Input); err != nil {
			return fmt.Errorf("sample request (%s): %w", s.Title, err)
		}
	}
	return nil
}

// checker makes the checks of a compiled program that the compiler doesn't.
type checker struct {
	err error
}

func (c *checker) fail(n ast.Node, format string, args ...any) {
	if c.err == nil {
		c.err = &file.Error{Location: n.Location(), Message: fmt.Sprintf(format, args...)}
	}
}

// checkResult checks that each branch of n ends in an answer.
func (c *checker) checkResult(n ast.Node) {
	switch v := n.(type) {
	case *ast.ConditionalNode:
		c.checkResult(v.Exp1)
		c.checkResult(v.Exp2)
	case *ast.VariableDeclaratorNode:
		c.checkResult(v.Expr)
	case *ast.SequenceNode:
		c.checkResult(v.Nodes[len(v.Nodes)-1])
	case *ast.MapNode:
		c.checkAnswer(v)
	default:
		c.fail(n, "the program must end in an answer, as {class: \"normal\", priority: 0, allowed: duration(\"30s\"), may_wait: true, repeatable: true, share: 1.0}")
	}
}

// The keys of an answer.
const (
	keyClass      = "class"
	keyPriority   = "priority"
	keyAllowed    = "allowed"
	keyMayWait    = "may_wait"
	keyRepeatable = "repeatable"
	keyShare      = "share"
)

// answerTypes has the types allowed for each key of an answer.
var answerTypes = map[string][]string{
	keyClass:      {"string"},
	keyPriority:   {"int"},
	keyAllowed:    {"time.Duration"},
	keyMayWait:    {"bool"},
	keyRepeatable: {"bool"},
	keyShare:      {"float64", "int"},
}

func (c *checker) checkAnswer(m *ast.MapNode) {
	seen := map[string]bool{}
	for _, n := range m.Pairs {
		p, ok := n.(*ast.PairNode)
		if !ok {
			continue
		}
		k, ok := p.Key.(*ast.StringNode)
		if !ok {
			c.fail(p.Key, "a key of the answer must be a plain word")
			return
		}
		c.checkValue(k, p.Value)
		seen[k.Value] = true
	}
	for k := range answerTypes {
		if !seen[k] {
			c.fail(m, "the answer lacks %q", k)
		}
	}
}

func (c *checker) checkValue(k *ast.StringNode, v ast.Node) {
	ts, ok := answerTypes[k.Value]
	if !ok {
		c.fail(k, "the answer has no part %q", k.Value)
		return
	}
	t := v.Type()
	for _, want := range ts {
		if t != nil && t.String() == want {
			return
		}
	}
	c.fail(v, "%s must be a %s, it is a %v", k.Value, ts[0], t)
}

// checkRanges rejects range expressions, the only remaining way for a small program to run long.
func (c *checker) checkRanges(n ast.Node) {
	ast.Walk(&n, c)
}

// Visit implements [ast.Visitor].
func (c *checker) Visit(n *ast.Node) {
	if b, ok := (*n).(*ast.BinaryNode); ok && b.Operator == ".." {
		c.fail(b, "ranges are not allowed")
	}
}
