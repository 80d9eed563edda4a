package jujubetrace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubecore"
)

// eventTypes returns all event types of jujubecore, in the order of their declaration.
func eventTypes() []reflect.Type {
	return typesOf([]jujubecore.Event{
		jujubecore.InstancesListed{},
		jujubecore.LoadReported{},
		jujubecore.CacheReported{},
		jujubecore.EndpointLost{},
		jujubecore.EndpointDrained{},
		jujubecore.RequestArrived{},
		jujubecore.RequestEnded{},
		jujubecore.RequestCancelled{},
		jujubecore.SuspectAsked{},
		jujubecore.SuspectGranted{},
		jujubecore.SuspectReleased{},
		jujubecore.QuarantineLifted{},
		jujubecore.PartSubmitted{},
		jujubecore.PartPulled{},
		jujubecore.StreamsHeld{},
		jujubecore.StreamProgressed{},
		jujubecore.StreamEnded{},
		jujubecore.SampleScored{},
		jujubecore.VersionAnnounced{},
		jujubecore.OrderAnswered{},
		jujubecore.ConfigRead{},
		jujubecore.ConfigReceived{},
		jujubecore.LeaseRead{},
		jujubecore.AppendFailed{},
		jujubecore.LogReached{},
		jujubecore.PeerReceived{},
		jujubecore.PeerAnswered{},
		jujubecore.PeerFailed{},
		jujubecore.KeyPresented{},
		jujubecore.KeyFinished{},
		jujubecore.KeysImported{},
		jujubecore.LeaveRequested{},
	})
}

// actionTypes returns all action types of jujubecore, in the order of their declaration.
func actionTypes() []reflect.Type {
	return typesOf([]jujubecore.Action{
		jujubecore.RouteDecided{},
		jujubecore.AbortRequest{},
		jujubecore.AskSuspect{},
		jujubecore.SuspectAnswered{},
		jujubecore.ReleaseSuspect{},
		jujubecore.RunStream{},
		jujubecore.StopStream{},
		jujubecore.ScoreSample{},
		jujubecore.ForgetStream{},
		jujubecore.SampleDiscarded{},
		jujubecore.PartAnswered{},
		jujubecore.PullAnswered{},
		jujubecore.SendOrder{},
		jujubecore.AppendLease{},
		jujubecore.AppendConfig{},
		jujubecore.FetchConfig{},
		jujubecore.ConfigApplied{},
		jujubecore.SendPeer{},
		jujubecore.PeerReply{},
		jujubecore.KeyDecided{},
	})
}

func typesOf[T any](values []T) []reflect.Type {
	types := make([]reflect.Type, 0, len(values))
	for _, value := range values {
		types = append(types, reflect.TypeOf(value))
	}
	return types
}

func findType(types []reflect.Type, name string) (reflect.Type, bool) {
	for _, t := range types {
		if t.Name() == name {
			return t, true
		}
	}
	return nil, false
}

// EventNames returns the names of the events that a trace may contain.
func EventNames() []string {
	var names []string
	for _, t := range eventTypes() {
		names = append(names, t.Name())
	}
	return names
}

// ActionNames returns the names that Line.Expect and Line.Never accept.
func ActionNames() []string {
	var names []string
	for _, t := range actionTypes() {
		names = append(names, t.Name())
	}
	return names
}

// DecodeEvent decodes an event of the named type from its JSON in a trace.
func DecodeEvent(name string, data json.RawMessage) (jujubecore.Event, error) {
	t, ok := findType(eventTypes(), name)
	if !ok {
		return nil, errors.Errorf("unknown event %q", name)
	}
	value := reflect.New(t)
	if len(data) > 0 {
		if err := decode(data, value.Interface()); err != nil {
			return nil, errors.Wrap(err, name)
		}
	}
	return value.Elem().Interface().(jujubecore.Event), nil
}

// decode unmarshals trace JSON into target. In trace JSON, times are offsets from Start, durations have units, byte slices
// may be written as JSON, and field names are case-sensitive.
func decode(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return errors.Wrap(err, "JSON")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("JSON: text after the value")
	}
	converted, err := toStdJSON(reflect.TypeOf(target).Elem(), tree, "")
	if err != nil {
		return err
	}
	text, err := json.Marshal(converted)
	if err != nil {
		return errors.Wrap(err, "JSON")
	}
	return errors.Wrap(json.Unmarshal(text, target), "JSON")
}

// toStdJSON converts a value of trace JSON to the form that encoding/json expects for the type. path names the value in
// errors.
func toStdJSON(t reflect.Type, value any, path string) (any, error) {
	switch t {
	case reflect.TypeFor[json.RawMessage](), reflect.TypeFor[model.Duration]():
		return value, nil
	case reflect.TypeFor[time.Time]():
		offset, err := parseDuration(value, path)
		return Start().Add(offset), err
	case reflect.TypeFor[time.Duration]():
		return parseDuration(value, path)
	case reflect.TypeFor[[]byte]():
		if _, isText := value.(string); isText || value == nil {
			return value, nil
		}
		return json.Marshal(value)
	}
	switch t.Kind() {
	case reflect.Pointer:
		if value == nil {
			return nil, nil
		}
		return toStdJSON(t.Elem(), value, path)
	case reflect.Slice:
		list, ok := value.([]any)
		if !ok {
			return value, nil
		}
		for i := range list {
			converted, err := toStdJSON(t.Elem(), list[i], path+"."+strconv.Itoa(i))
			if err != nil {
				return nil, err
			}
			list[i] = converted
		}
		return list, nil
	case reflect.Struct, reflect.Map:
		fields, ok := value.(map[string]any)
		if !ok {
			return value, nil
		}
		for name, fieldValue := range fields {
			valueType := t
			if t.Kind() == reflect.Map {
				valueType = t.Elem()
			} else if valueType, ok = fieldType(t, name); !ok || isEmbedded(t, name) {
				return nil, errors.Errorf("unknown field %q", strings.TrimPrefix(path+"."+name, "."))
			}
			converted, err := toStdJSON(valueType, fieldValue, path+"."+name)
			if err != nil {
				return nil, err
			}
			fields[name] = converted
		}
		return fields, nil
	}
	return value, nil
}

func parseDuration(value any, path string) (time.Duration, error) {
	text, _ := value.(string)
	d, err := time.ParseDuration(text)
	return d, errors.Wrap(err, strings.TrimPrefix(path, "."))
}

// fieldType returns the type of an exported field, which may be promoted from an embedded struct.
func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	field, ok := t.FieldByName(name)
	if !ok || !field.IsExported() {
		return nil, false
	}
	return field.Type, true
}

// isEmbedded reports whether a field is an embedded struct. In JSON its fields appear one level higher, so its own name
// isn't a key.
func isEmbedded(t reflect.Type, name string) bool {
	field, _ := t.FieldByName(name)
	return field.Anonymous
}

// encode converts a value to maps, slices and JSON scalars in the format of a trace. An error becomes its code and message.
func encode(value reflect.Value) any {
	switch v := value.Interface().(type) {
	case time.Time:
		if v.IsZero() {
			return nil
		}
		return v.Sub(Start()).String()
	case time.Duration:
		return v.String()
	case model.Duration:
		return v.Std().String()
	case json.RawMessage:
		return decodeUntyped(v)
	case []byte:
		return decodeUntyped(v)
	case error:
		return encodeError(v)
	}
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		if value.IsNil() {
			return nil
		}
		return encode(value.Elem())
	case reflect.Struct:
		fields := make(map[string]any)
		for _, field := range reflect.VisibleFields(value.Type()) {
			if field.IsExported() {
				fields[field.Name] = encode(value.FieldByIndex(field.Index))
			}
		}
		return fields
	case reflect.Slice:
		list := make([]any, 0, value.Len())
		for i := range value.Len() {
			list = append(list, encode(value.Index(i)))
		}
		return list
	case reflect.Map:
		fields := make(map[string]any)
		for entries := value.MapRange(); entries.Next(); {
			fields[fmt.Sprint(entries.Key().Interface())] = encode(entries.Value())
		}
		return fields
	}
	return encodeScalar(value)
}

func encodeScalar(value reflect.Value) any {
	switch {
	case value.CanInt():
		return json.Number(strconv.FormatInt(value.Int(), 10))
	case value.CanUint():
		return json.Number(strconv.FormatUint(value.Uint(), 10))
	case value.CanFloat():
		return json.Number(strconv.FormatFloat(value.Float(), 'g', -1, 64))
	case value.Kind() == reflect.Bool:
		return value.Bool()
	}
	return value.String()
}

// encodeError converts an error so that an expectation can match its code.
func encodeError(err error) any {
	if refused, ok := jujubeerror.IsErrRefused(err); ok {
		return encode(reflect.ValueOf(struct {
			Code       string
			Ran        model.Ran
			RetryAfter time.Duration
			Message    string
		}(refused)))
	}
	return map[string]any{"Code": "Error", "Message": err.Error()}
}

// decodeUntyped returns the value of a JSON text, or the text itself if it isn't JSON.
func decodeUntyped(text []byte) any {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	if len(text) == 0 || decoder.Decode(&value) != nil {
		return string(text)
	}
	return value
}
