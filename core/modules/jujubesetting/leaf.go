package jujubesetting

import (
	"encoding"
	"reflect"
	"strings"
	"unicode"

	"jujubepier.example/core/modules/jujubeyaml"
)

// leaf is one scalar or list of scalars in a settings struct. Maps and lists of structs are set by the file only.
type leaf struct {
	// path joins the field names with dots, such as Log.Level.
	path  string
	field reflect.StructField
	value reflect.Value
}

func listLeaves(settings any) []leaf {
	var leaves []leaf
	var walk func(path string, structure reflect.Value)
	walk = func(path string, structure reflect.Value) {
		for _, field := range reflect.VisibleFields(structure.Type()) {
			if !field.IsExported() || len(field.Index) > 1 {
				continue
			}
			value := structure.FieldByIndex(field.Index)
			child := strings.TrimPrefix(path+"."+field.Name, ".")
			_, isText := value.Addr().Interface().(encoding.TextUnmarshaler)
			switch {
			case !isText && value.Kind() == reflect.Struct:
				walk(child, value)
			case !isText && value.Kind() == reflect.Map:
			case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
			default:
				leaves = append(leaves, leaf{path: child, field: field, value: value})
			}
		}
	}
	walk("", reflect.ValueOf(settings).Elem())
	return leaves
}

// set reads the value from text; the elements of a list are separated by commas.
func (l leaf) set(text string) error {
	if !l.isList() {
		return jujubeyaml.SetText(l.value, text)
	}
	rows := reflect.MakeSlice(l.value.Type(), 0, 0)
	for part := range strings.SplitSeq(text, ",") {
		row := reflect.New(l.value.Type().Elem()).Elem()
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		if err := jujubeyaml.SetText(row, part); err != nil {
			return err
		}
		rows = reflect.Append(rows, row)
	}
	l.value.Set(rows)
	return nil
}

func (l leaf) isList() bool {
	_, isText := l.value.Addr().Interface().(encoding.TextUnmarshaler)
	return !isText && l.value.Kind() == reflect.Slice
}

// flag is the path in lower case with hyphens: log-level for Log.Level.
func (l leaf) flag() string { return strings.ToLower(l.join("-")) }

// variable is the path in upper case with underscores: JUJUBE_LOG_LEVEL for Log.Level with the prefix JUJUBE.
func (l leaf) variable(prefix string) string { return prefix + "_" + strings.ToUpper(l.join("_")) }

// join separates the words of the path. A run of capitals is one word: PeerHTTPAddress has three.
func (l leaf) join(separator string) string {
	var joined strings.Builder
	runes := []rune(l.path)
	for i, r := range runes {
		switch {
		case r == '.':
			joined.WriteString(separator)
			continue
		case i > 0 && unicode.IsUpper(r) && runes[i-1] != '.' &&
			(!unicode.IsUpper(runes[i-1]) || i+1 < len(runes) && unicode.IsLower(runes[i+1])):
			joined.WriteString(separator)
		}
		joined.WriteRune(r)
	}
	return joined.String()
}
