package jujubedocs_test

import (
	"bytes"
	"context"
	"encoding"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net/http/httptest"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/core/modules/jujubesetting"
	"jujubepier.example/core/services/jujubedocument"
	"jujubepier.example/entry/routers/jujubeserver"
	"jujubepier.example/entry/services/jujubeentry"
)

// TestEvents guards against events without a row and against rows with a wrong name, a wrong level or an empty cell.
func TestEvents(t *testing.T) {
	const page = "docs/events.md"
	rows := readTable(t, page, "| Number | Name |")
	var numbers []string
	for _, entry := range jujubeevent.Catalogue() {
		number := strconv.Itoa(int(entry.Number))
		numbers = append(numbers, number)
		row, ok := rows[number]
		if !ok {
			continue // reported by checkKeys
		}
		assert.Check(t, row[1] == entry.Name && row[2] == entry.Level.String(),
			"%s: event %s has name %s and level %s in the catalogue", page, number, entry.Name, entry.Level)
		assert.Check(t, row[3] != "" && row[4] != "", "%s: row %s has an empty cell", page, number)
	}
	checkKeys(t, page, numbers, rows)
}

// TestErrors guards against refusal codes without a row and against rows with a wrong HTTP status.
func TestErrors(t *testing.T) {
	const page = "docs/errors.md"
	rows := readTable(t, page, "| Code | Status |")
	codes := listCodes(t)
	for _, code := range codes {
		recorder := httptest.NewRecorder()
		jujubehttp.WriteRefusal(recorder, jujubeerror.ErrRefused{Code: code, Ran: model.RanNo}, nil)
		if row, ok := rows[code]; ok {
			assert.Check(t, row[1] == strconv.Itoa(recorder.Code), "%s: %s is sent with status %d", page, code, recorder.Code)
		}
	}
	checkKeys(t, page, codes, rows)
}

// listCodes reads the values of the Code constants from the source, because a list in the code could be incomplete.
func listCodes(t *testing.T) []string {
	t.Helper()
	path := filepath.Join(findRoot(t), "core/modules/jujubeerror/refused.go")
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	assert.NilError(t, err)
	var codes []string
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Code") {
			return true
		}
		code, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		assert.NilError(t, err)
		codes = append(codes, code)
		return true
	})
	assert.Assert(t, len(codes) > 0)
	return codes
}

// TestSettings guards against settings without a row and against rows with a wrong default, limit, flag or variable.
func TestSettings(t *testing.T) {
	const page = "docs/settings.md"
	rows := readTable(t, page, "| Key | Type, unit | Default | Limits | Variable |")
	var flags []string
	for _, flag := range jujubesetting.Flags[jujubeentry.Settings]() {
		flags = append(flags, flag.(*cli.StringFlag).Name)
	}
	var keys []string
	walkFields("", reflect.ValueOf(jujubeentry.DefaultSettings()), func(key string, field reflect.StructField, value reflect.Value) {
		keys = append(keys, key)
		row, ok := rows[key]
		if !ok {
			return
		}
		rules := field.Tag.Get("validate")
		assert.Check(t, field.Tag.Get("usage") != "", "the setting %s has no usage text for --help", key)
		assert.Check(t, isDefault(row[2], value, rules), "%s: the default of %s is %v", page, key, value)
		checkLimits(t, page, key, row[3], rules)
		flag := strings.Trim(row[5], "`")
		assert.Check(t, strings.HasPrefix(flag, "--") && contains(flags, flag[2:]), "%s: %s has no flag %s", page, key, flag)
		variable := "JUJUBEPIER_" + strings.ToUpper(strings.ReplaceAll(strings.TrimPrefix(flag, "--"), "-", "_"))
		assert.Check(t, row[4] == "`"+variable+"`", "%s: the variable of %s is %s", page, key, variable)
	})
	assert.Equal(t, len(keys), len(flags)-1, "each key must have a flag, and --settings must be the only other flag")
	checkKeys(t, page, keys, rows)
}

func contains(list []string, text string) bool {
	for _, element := range list {
		if element == text {
			return true
		}
	}
	return false
}

// walkFields calls visit for each field of a struct that isn't itself a struct, recursively. key is the dotted path.
func walkFields(path string, structure reflect.Value, visit func(key string, field reflect.StructField, value reflect.Value)) {
	for _, field := range reflect.VisibleFields(structure.Type()) {
		value := structure.FieldByIndex(field.Index)
		key := strings.TrimPrefix(path+"."+field.Name, ".")
		if value.Kind() == reflect.Struct {
			walkFields(key, value, visit)
			continue
		}
		visit(key, field, value)
	}
}

// isDefault reports whether a cell of the page shows the default value of a setting. A required setting without default is
// shown as "-" and an empty string as "empty".
func isDefault(cell string, value reflect.Value, rules string) bool {
	text := strings.Trim(cell, "`")
	if duration, ok := value.Interface().(time.Duration); ok {
		parsed, err := time.ParseDuration(text)
		return err == nil && parsed == duration
	}
	switch {
	case value.Kind() == reflect.String && value.Len() == 0 && strings.HasPrefix(rules, "required,"), rules == "required":
		return text == "-"
	case value.Kind() == reflect.String && value.Len() == 0:
		return text == "empty"
	case value.Kind() == reflect.String:
		return text == value.String()
	case value.Kind() == reflect.Bool:
		return text == strconv.FormatBool(value.Bool())
	}
	return text == strconv.FormatInt(value.Int(), 10)
}

// checkLimits checks that the cell with the limits contains the parameters of the validation rules.
func checkLimits(t *testing.T, page, key, cell, rules string) {
	t.Helper()
	words := strings.FieldsFunc(cell, func(r rune) bool { return strings.ContainsRune(" ,;`%", r) })
	for rule := range strings.SplitSeq(rules, ",") {
		name, parameter, _ := strings.Cut(rule, "=")
		switch name {
		case "dive":
			if strings.Contains(rules, "keys") {
				return // the rule for names is described above the table
			}
		case "min", "max", "gt":
			// The minimum length of the mapping Models is written as a word.
			assert.Check(t, contains(words, parameter) || key == "Models", "%s: the limits of %s don't contain %s", page, key, rule)
		case "oneof":
			for value := range strings.FieldsSeq(parameter) {
				assert.Check(t, contains(words, value), "%s: the limits of %s don't contain %s", page, key, value)
			}
		}
	}
}

// TestDocument guards against keys of the environment document without a row and against rows with wrong limits.
func TestDocument(t *testing.T) {
	const page = "docs/document.md"
	rows := readTable(t, page, "| Key | Type, unit | Default | Limits |")
	var keys []string
	walkDocument("", reflect.TypeFor[jujubedocument.Document](), func(key string, field reflect.StructField) {
		keys = append(keys, key)
		row, ok := rows[key]
		if !ok {
			return
		}
		isRequired := field.Tag.Get("key") == "required"
		assert.Check(t, isRequired == (row[2] == "required"), "%s: required is %v for %s", page, isRequired, key)
		checkLimits(t, page, key, row[3], field.Tag.Get("validate"))
	})
	checkKeys(t, page, keys, rows)
}

// walkDocument calls visit for each key of the document, recursively. A name that operators choose is written as "*".
func walkDocument(path string, structure reflect.Type, visit func(key string, field reflect.StructField)) {
	for _, field := range reflect.VisibleFields(structure) {
		key := strings.TrimPrefix(path+"."+field.Name, ".")
		visit(key, field)
		element := field.Type
		if element.Kind() == reflect.Map {
			key, element = key+".*", element.Elem()
		}
		isTextUnmarshaler := reflect.PointerTo(element).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
		if element.Kind() == reflect.Struct && !isTextUnmarshaler {
			walkDocument(key, element, visit)
		}
	}
}

var metricName = regexp.MustCompile(`jujube_[a-z_]+`)

// TestMetrics guards against metrics without a row. Metrics with labels are exposed only after their first count, so their
// names are read from the source; the other names are those that an instance without log and instance list exposes after
// its start.
func TestMetrics(t *testing.T) {
	const page = "docs/metrics.md"
	rows := readTable(t, page, "| Name | Type |")
	settings := jujubeentry.DefaultSettings()
	settings.Instance, settings.DataCentre = "docs", "a"
	settings.CallerAddress, settings.PeerAddress, settings.OperatorAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.LogAddress, settings.ListAddress = "127.0.0.1:1", "127.0.0.1:1"
	logger, err := jujubeevent.NewLogger(io.Discard, "error", "json")
	assert.NilError(t, err)
	server, kill, err := jujubeserver.Start(context.Background(), settings, logger)
	assert.NilError(t, err)
	defer kill()
	var exposed bytes.Buffer
	server.Service.WriteMetrics(&exposed)
	names := map[string]bool{}
	for line := range strings.Lines(exposed.String()) {
		name := metricName.FindString(line)
		if strings.HasPrefix(line, name) && name != "" {
			names[strings.TrimSuffix(strings.TrimSuffix(strings.TrimSuffix(name, "_bucket"), "_sum"), "_count")] = true
		}
	}
	assert.Assert(t, names["jujube_ready"], "the instance must expose its metrics")
	for _, name := range metricName.FindAllString(readPage(t, "entry/services/jujubeentry/metrics.go"), -1) {
		names[name] = true
	}
	var list []string
	for name := range names {
		list = append(list, name)
	}
	checkKeys(t, page, list, rows)
}
