package jujubedocument

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is one value that differs between two documents.
type Change struct {
	// Key is the path of the value, such as Trainers.pump.Share.
	Key string
	// From is empty if the key was added, and To is empty if it was removed.
	From string
	To   string
}

// Diff returns the values that differ, sorted by key. Layout and comments are ignored; a nil document is treated as empty.
func Diff(from, to *Document) []Change {
	before, after := flatten(from), flatten(to)
	var changes []Change
	for key, value := range before {
		if after[key] != value {
			changes = append(changes, Change{Key: key, From: value, To: after[key]})
		}
	}
	for key, value := range after {
		if _, ok := before[key]; !ok {
			changes = append(changes, Change{Key: key, To: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
	return changes
}

// flatten returns the values of a document by their paths.
func flatten(document *Document) map[string]string {
	values := map[string]string{}
	if document != nil {
		flattenInto(values, "", reflect.ValueOf(*document))
	}
	return values
}

// flattenInto adds the values below a path to values. Values whose text is empty are omitted.
func flattenInto(values map[string]string, path string, value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for _, field := range reflect.VisibleFields(value.Type()) {
			flattenInto(values, strings.TrimPrefix(path+"."+field.Name, "."), value.FieldByIndex(field.Index))
		}
	case reflect.Map:
		for iterator := value.MapRange(); iterator.Next(); {
			flattenInto(values, path+"."+iterator.Key().String(), iterator.Value())
		}
	default:
		if text := fmt.Sprint(value.Interface()); text != "" {
			values[path] = text
		}
	}
}
