package jujubedocument

import (
	"cmp"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeyaml"
)

// Parse parses and validates a document. file is only used in errors. The error for an invalid document is an ErrDocuments.
func Parse(file string, data []byte) (*Document, error) {
	if len(data) > MaxBytes {
		return nil, ErrDocuments{{File: file, Line: 1, Column: 1, Reason: fmt.Sprintf("holds %d bytes; at most %d are allowed", len(data), MaxBytes)}}
	}
	document := &Document{}
	positions, problems := jujubeyaml.Decode(data, document)
	// Names exclude dots, colons and slashes, so that no address or URL is a valid name.
	name := regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	violations, err := jujubeyaml.Check(document, positions, map[string]func(reflect.Value) bool{
		"name": func(value reflect.Value) bool { return name.MatchString(value.String()) },
	})
	if err != nil {
		return nil, errors.Wrap(err, "check document")
	}
	// A value that could not be decoded is zero; the violations that result from that are not reported in addition.
	for _, violation := range violations {
		if !hasProblem(problems, violation.Key) {
			problems = append(problems, violation)
		}
	}
	problems = append(problems, document.checkReferences(positions, problems)...)
	if len(problems) > 0 {
		return nil, newErrDocuments(file, problems)
	}
	for id, service := range document.Services {
		if service.NonIdempotentMethods == nil {
			service.NonIdempotentMethods = []string{"POST", "PATCH"}
			document.Services[id] = service
		}
	}
	return document, nil
}

// newErrDocuments converts problems to an ErrDocuments, sorted by position.
func newErrDocuments(file string, problems []jujubeyaml.Problem) ErrDocuments {
	slices.SortFunc(problems, func(a, b jujubeyaml.Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Reason, b.Reason))
	})
	errs := make(ErrDocuments, len(problems))
	for i, p := range problems {
		errs[i] = ErrDocument{File: file, Line: p.Line, Column: p.Column, Key: p.Key, Reason: p.Reason}
	}
	return errs
}

// hasProblem reports whether a problem concerns the value at path, a part of it or a value that contains it.
func hasProblem(problems []jujubeyaml.Problem, path string) bool {
	return slices.ContainsFunc(problems, func(p jujubeyaml.Problem) bool {
		return p.Key == path || p.Key == "" || strings.HasPrefix(p.Key, path+".") || strings.HasPrefix(path, p.Key+".")
	})
}

// checkReferences returns the limits that contradict each other and the names that the document doesn't define.
func (d *Document) checkReferences(positions jujubeyaml.Positions, known []jujubeyaml.Problem) []jujubeyaml.Problem {
	var problems []jujubeyaml.Problem
	report := func(key, format string, args ...any) {
		position := positions.Find(key)
		problems = append(problems, jujubeyaml.Problem{Line: position.Line, Column: position.Column, Key: key, Reason: fmt.Sprintf(format, args...)})
	}
	for name, m := range d.Models {
		if hasProblem(known, "Models."+string(name)) {
			continue
		}
		if m.MinServing+m.MaxSwapping > m.Engines {
			report("Models."+string(name)+".MaxSwapping", "%d engines swapping and %d serving are more than the %d engines",
				m.MaxSwapping, m.MinServing, m.Engines)
		}
	}
	shares := map[model.ModelName]Percent{}
	for id, trainer := range d.Trainers {
		path := "Trainers." + string(id)
		shares[trainer.Model] += trainer.Share
		if _, ok := d.Models[trainer.Model]; !ok && !hasProblem(known, path+".Model") && d.Models != nil {
			report(path+".Model", "%q is not among Models", trainer.Model)
		}
		if _, ok := d.Services[trainer.Scorer]; !ok && trainer.Scorer != "" && !hasProblem(known, path+".Scorer") {
			report(path+".Scorer", "%q is not among Services", trainer.Scorer)
		}
	}
	for name, sum := range shares {
		// The tolerance allows thirds that are written with rounded decimals.
		if sum > 100.01 {
			report("Models."+string(name), "the shares of its trainers add up to %s; at most 100%% is possible", sum)
		}
	}
	return problems
}
