package jujubesetting

import (
	"encoding"
	"reflect"
	"strings"
	"unicode"

	"jujubepier.example/core/modules/jujubeyaml"
)

// leaf is one scalar or list of scalars in a settings struct. Maps and lists of structs can only be set in the file.
type leaf struct {
	// path is the field names joined with dots, such as Log.Level.
	path  string
	field reflect.StructField
	value reflect.Value
}

// listLeaves returns the leaves of the struct that settings points to, in the order of declaration.
func listLeaves(settings any) []leaf {
	var leaves []leaf
	var walk func(path string, structure reflect.Value)
	walk = func(path string, structure reflect.Value) {
		for _, field := range reflect.VisibleFields(structure.Type()) {
			if !field.IsExported() || len(field.Index) > 1 {
				continue
			}
			value := structure.FieldByIndex(field.Index)
			fieldPath := strings.TrimPrefix(path+"."+field.Name, ".")
			_, isText := value.Addr().Interface().(encoding.TextUnmarshaler)
			switch {
			case !isText && value.Kind() == reflect.Struct:
				walk(fieldPath, value)
			case !isText && value.Kind() == reflect.Map:
			case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
			default:
				leaves = append(leaves, leaf{path: fieldPath, field: field, value: value})
			}
		}
	}
	walk("", reflect.ValueOf(settings).Elem())
	return leaves
}

// set parses the value from text. The elements of a list are separated by commas.
func (l leaf) set(text string) error {
	if !l.isList() {
		return jujubeyaml.SetText(l.value, text)
	}
	elements := reflect.MakeSlice(l.value.Type(), 0, 0)
	for part := range strings.SplitSeq(text, ",") {
		element := reflect.New(l.value.Type().Elem()).Elem()
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		if err := jujubeyaml.SetText(element, part); err != nil {
			return err
		}
		elements = reflect.Append(elements, element)
	}
	l.value.Set(elements)
	return nil
}

func (l leaf) isList() bool {
	_, isText := l.value.Addr().Interface().(encoding.TextUnmarshaler)
	return !isText && l.value.Kind() == reflect.Slice
}

// flag returns the name of the flag, the path in lower case with hyphens: log-level for Log.Level.
func (l leaf) flag() string { return strings.ToLower(l.join("-")) }

// variable returns the name of the environment variable, the path in upper case with underscores: JUJUBE_LOG_LEVEL for
// Log.Level with the prefix JUJUBE.
func (l leaf) variable(prefix string) string { return prefix + "_" + strings.ToUpper(l.join("_")) }

// join joins the words of the path with a separator. Consecutive capitals form one word: PeerHTTPAddress has three words.
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
