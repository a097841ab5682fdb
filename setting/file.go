package setting

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

// RoleKey is the key of a settings file that names its role.
const RoleKey = "role"

// File is a settings file that has been read and checked.
type File struct {
	Path   string
	Role   hollowgrade.Role
	values map[string]any
	lines  map[string]int
}

// Read reads and checks a settings file. Its error has the code [fault.BadSetting] and names the
// file, the line, the key and the allowed values.
func Read(path string) (f *File, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.BadSetting, "%s: %v", path, err)
	}
	return Parse(path, b)
}

// Parse checks the content of a settings file.
func Parse(path string, b []byte) (f *File, err error) {
	f = &File{Path: path, values: map[string]any{}, lines: keyLines(b)}
	if err = toml.Unmarshal(b, &f.values); err != nil {
		return nil, syntaxError(path, err)
	}
	r, _ := f.values[RoleKey].(string)
	f.Role = hollowgrade.Role(r)
	if _, ok := Roles()[f.Role]; !ok {
		return nil, f.errorf(RoleKey, "must be entry, agent or gateway, it is %q", r)
	}
	ds := Docs(f.Role)
	for _, k := range f.keys() {
		if err = f.checkKey(k, ds); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Check checks the constraints between settings. They are advisory: a process also starts with a
// file that violates them. Its error is like that of [Read].
func (f *File) Check() error {
	if f.Role != hollowgrade.GatewayRole {
		return nil
	}
	g := DefaultGateway()
	if err := f.apply(&g); err != nil {
		return err
	}
	if err := g.CheckFreshness(); err != nil {
		return f.errorf(freshnessKey, "%s", strings.TrimPrefix(err.Error(), freshnessKey+" "))
	}
	return nil
}

// keys returns the keys in the order of their lines.
func (f *File) keys() (ks []string) {
	for k := range f.values {
		if k != RoleKey {
			ks = append(ks, k)
		}
	}
	slices.SortFunc(ks, func(a, b string) int { return f.lines[a] - f.lines[b] })
	return ks
}

func (f *File) errorf(key, format string, args ...any) error {
	return fault.New(fault.BadSetting, "%s:%d: %s %s", f.Path, max(f.lines[key], 1), key, fmt.Sprintf(format, args...))
}

func syntaxError(path string, err error) error {
	var d *toml.DecodeError
	if !errors.As(err, &d) {
		return fault.New(fault.BadSetting, "%s: %v", path, err)
	}
	row, column := d.Position()
	return fault.New(fault.BadSetting, "%s:%d:%d: %s", path, row, column, strings.TrimPrefix(d.Error(), "toml: "))
}

// keyLines returns the line number of each top-level key.
func keyLines(b []byte) map[string]int {
	ls := map[string]int{}
	p := unstable.Parser{}
	p.Reset(b)
	for p.NextExpression() {
		e := p.Expression()
		k := e.Key()
		if !k.Next() {
			continue
		}
		n := k.Node()
		if _, ok := ls[string(n.Data)]; !ok {
			ls[string(n.Data)] = 1 + bytes.Count(b[:n.Raw.Offset], []byte("\n"))
		}
	}
	return ls
}

func (f *File) checkKey(k string, ds []Doc) error {
	i := slices.IndexFunc(ds, func(d Doc) bool { return d.Key == k })
	if i < 0 {
		return f.errorf(k, "is no setting of the role %s%s", f.Role, suggestion(k, ds))
	}
	v, err := ds[i].convert(f.values[k])
	if err != nil {
		return f.errorf(k, "%v", err)
	}
	if err = ds[i].checkValue(v); err != nil {
		return f.errorf(k, "%s", strings.TrimPrefix(err.Error(), k+" "))
	}
	return nil
}

// apply sets the fields of a settings struct to the values of the file.
func (f *File) apply(to any) error {
	v := reflect.ValueOf(to).Elem()
	for _, d := range Docs(f.Role) {
		x, ok := f.values[d.Key]
		if !ok {
			continue
		}
		c, err := d.convert(x)
		if err != nil {
			return f.errorf(d.Key, "%v", err)
		}
		v.FieldByIndex(d.field).Set(c)
	}
	return nil
}

// suggestion names the setting that differs from the unknown key only in case and separators, or
// else the command that lists the settings.
func suggestion(k string, ds []Doc) string {
	for _, d := range ds {
		if strings.ReplaceAll(d.Key, "_", "") == strings.ToLower(strings.NewReplacer("_", "", "-", "").Replace(k)) {
			return ", " + d.Key + " is"
		}
	}
	return ", see 'hollowgrade explain " + string(ds[0].Role) + "'"
}

// convert converts a value of the file to the setting's type.
func (d Doc) convert(v any) (reflect.Value, error) {
	switch x := v.(type) {
	case string:
		return d.convertString(x)
	case []any:
		if d.kind.Kind() == reflect.Slice {
			return d.convertList(x)
		}
	case bool:
		if d.kind.Kind() == reflect.Bool {
			return reflect.ValueOf(x), nil
		}
	case float64:
		if d.kind.Kind() == reflect.Float64 {
			return reflect.ValueOf(x), nil
		}
	case int64:
		if d.kind.Kind() == reflect.Float64 || d.Type == "whole number" {
			return reflect.ValueOf(x).Convert(d.kind), nil
		}
	}
	return reflect.Value{}, fmt.Errorf("must be a %s, it is %v", d.Type, v)
}

func (d Doc) convertString(s string) (reflect.Value, error) {
	if d.Type == "duration" {
		t, err := time.ParseDuration(s)
		if err != nil {
			return reflect.Value{}, fmt.Errorf("must be a duration such as 30s or 1m30s, it is %q", s)
		}
		return reflect.ValueOf(t), nil
	}
	if d.kind.Kind() != reflect.String {
		return reflect.Value{}, fmt.Errorf("must be a %s, it is %q", d.Type, s)
	}
	return reflect.ValueOf(s), nil
}

func (d Doc) convertList(vs []any) (reflect.Value, error) {
	ss := make([]string, 0, len(vs))
	for _, v := range vs {
		s, ok := v.(string)
		if !ok {
			return reflect.Value{}, fmt.Errorf("must be a list of strings, it holds %v", v)
		}
		ss = append(ss, s)
	}
	return reflect.ValueOf(ss), nil
}

// Flag is the type of the flag that names the settings file. Kong reads the file before it resolves
// the other flags.
type Flag string

// BeforeResolve implements a hook of kong.
func (g Flag) BeforeResolve(ctx *kong.Context, trace *kong.Path) error {
	p, ok := ctx.FlagValue(trace.Flag).(Flag)
	if !ok || p == "" {
		return nil
	}
	f, err := Read(string(p))
	if err != nil {
		return err
	}
	if c := ctx.Selected(); c != nil && c.Name != string(f.Role) {
		return f.errorf(RoleKey, "is %s, but the command is %s", f.Role, c.Name)
	}
	ctx.AddResolver(resolver{f})
	return nil
}

// resolver passes the values of the file to kong. The command line and the environment take
// precedence over it.
type resolver struct {
	file *File
}

// Validate implements [kong.Resolver].
func (r resolver) Validate(*kong.Application) error {
	return nil
}

// Resolve implements [kong.Resolver].
func (r resolver) Resolve(_ *kong.Context, _ *kong.Path, f *kong.Flag) (any, error) {
	for _, e := range f.Envs {
		if _, ok := os.LookupEnv(e); ok {
			return nil, nil
		}
	}
	v, ok := r.file.values[strings.ReplaceAll(f.Name, "-", "_")]
	if !ok {
		return nil, nil
	}
	if l, ok := v.([]any); ok {
		return join(l), nil
	}
	return fmt.Sprint(v), nil
}

// join formats a list as kong parses one from the command line.
func join(l []any) string {
	ss := make([]string, 0, len(l))
	for _, v := range l {
		ss = append(ss, kong.JoinEscaped([]string{fmt.Sprint(v)}, ','))
	}
	return strings.Join(ss, ",")
}
