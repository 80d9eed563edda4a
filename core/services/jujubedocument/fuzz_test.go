package jujubedocument_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubedocument"
)

// FuzzParse guards against a document that makes the parser panic, is refused without a position, or is accepted with
// contradictory limits.
func FuzzParse(f *testing.F) {
	for _, file := range []string{"../../../examples/himal-dan.yaml", "../../../examples/vatuwaqa.yaml"} {
		data, err := os.ReadFile(file)
		assert.NilError(f, err)
		f.Add(data)
	}
	for _, seed := range []string{"", "Models:", "Models: {m: {Engines: 1}}", "Models: &a {b: *a}", "- 1", "Trainers: {t: {Share: 1e309%}}", "\x00"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := jujubedocument.Parse("fuzz.yaml", data)
		if err != nil {
			problems, ok := jujubedocument.IsErrDocument(err)
			assert.Assert(t, ok && len(problems) > 0, "%v", err)
			for _, problem := range problems {
				assert.Assert(t, problem.Line > 0 && problem.Column > 0 && problem.Reason != "", "%+v", problem)
			}
			return
		}
		for name, limits := range document.Limits().Models {
			assert.Assert(t, limits.MinServing+limits.MaxSwapping <= document.Models[name].Engines)
		}
		assert.Equal(t, len(jujubedocument.Diff(document, document)), 0)
	})
}
