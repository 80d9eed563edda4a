package jujubedocument_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubedocument"
)

const valid = `Models:
  dan-llm: {Engines: 4, MaxInFlightPerEndpoint: 8, MaxSwapping: 1, MinServing: 3, SwapTimeout: 40s}
Services:
  scorer: {MaxInFlightPerEndpoint: 8, Timeout: 5s}
Trainers:
  grading:
    Model: dan-llm
    Share: 50%
    StalenessBound: 0
    MaxInFlight: 16
    Scorer: scorer
    StepDeadline: 5m
`

// TestParseRefuses guards against an invalid document that is accepted, and against a problem that is reported at the
// wrong position.
func TestParseRefuses(t *testing.T) {
	for _, test := range []struct{ name, old, replacement, want string }{
		{"unknown key", "Share:", "Shere:", "f.yaml:8:5: Trainers.grading.Shere: unknown key; known are MaxInFlight, Model, Prefer, Scorer, Share, StalenessBound, StepDeadline"},
		{"address", "{Engines: 4,", "{Address: 10.0.0.1:80, Engines: 4,", "f.yaml:2:13: Models.dan-llm.Address: unknown key"},
		{"address as a name", "scorer: {", "10.0.0.1: {", "f.yaml:4:3: Services.10.0.0.1: "},
		{"missing key", "    Share: 50%\n", "", "f.yaml:6:3: Trainers.grading.Share: is required"},
		{"duration without unit", "40s", "40", `f.yaml:2:96: Models.dan-llm.SwapTimeout: "40" must be a duration with a unit`},
		{"count with unit", "MaxInFlight: 16", "MaxInFlight: 16s", "f.yaml:10:18: Trainers.grading.MaxInFlight: "},
		{"share without sign", "50%", "0.5", "f.yaml:8:12: Trainers.grading.Share: "},
		{"share above all", "50%", "101%", "f.yaml:8:5: Trainers.grading.Share: 101% is above"},
		{"share NaN", "50%", "NaN%", "f.yaml:8:12: Trainers.grading.Share: "},
		{"none serving", "MinServing: 3", "MinServing: 0", "f.yaml:2:68: Models.dan-llm.MinServing: 0 is below"},
		{"none swapping", "MaxSwapping: 1", "MaxSwapping: 0", "f.yaml:2:52: Models.dan-llm.MaxSwapping: 0 is below"},
		{"swapping contradicts serving", "MaxSwapping: 1", "MaxSwapping: 2", "f.yaml:2:52: Models.dan-llm.MaxSwapping: 2 engines swapping and 3 serving are more than the 4 engines"},
		{"negative staleness", "StalenessBound: 0", "StalenessBound: -1", "f.yaml:9:5: Trainers.grading.StalenessBound: -1 is below"},
		{"unknown model", "Model: dan-llm", "Model: other", `f.yaml:7:5: Trainers.grading.Model: "other" is not among Models`},
		{"unknown scorer", "Scorer: scorer", "Scorer: other", `f.yaml:11:5: Trainers.grading.Scorer: "other" is not among Services`},
		{"duplicate key", "    Share: 50%\n", "    Share: 50%\n    Share: 40%\n", "f.yaml:9:5: "},
		{"alias", "Share: 50%", "Share: &a 50%", "anchors, aliases"},
		{"syntax", "Services:\n", "Services: [\n", "f.yaml:"},
		{"second document", "Services:\n", "---\nServices:\n", "exactly one YAML document"},
		{"not a mapping", "Services:\n  scorer: {MaxInFlightPerEndpoint: 8, Timeout: 5s}\n", "Services: [scorer]\n", "f.yaml:3:11: Services: must be a mapping"},
		{"method", "Timeout: 5s}", "Timeout: 5s, NonIdempotentMethods: [post]}", "Services.scorer.NonIdempotentMethods.0: post must be one of"},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(valid, test.old, test.replacement, 1)
			assert.Assert(t, text != valid)
			_, err := jujubedocument.Parse("f.yaml", []byte(text))
			assert.ErrorContains(t, err, test.want)
			problems, ok := jujubedocument.IsErrDocument(err)
			assert.Assert(t, ok)
			assert.Assert(t, problems[0].Line > 0 && problems[0].Column > 0)
		})
	}
}

// TestParseReportsAllProblems guards against validation that stops at the first problem: each of three independent
// mistakes must be reported.
func TestParseReportsAllProblems(t *testing.T) {
	text := strings.NewReplacer("StalenessBound: 0", "StalenessBound: -1", "Scorer: scorer", "Scorer: other", "40s", "40").Replace(valid)
	_, err := jujubedocument.Parse("f.yaml", []byte(text))
	problems, _ := jujubedocument.IsErrDocument(err)
	var keys []string
	for _, problem := range problems {
		keys = append(keys, problem.Key)
	}
	assert.DeepEqual(t, keys, []string{"Models.dan-llm.SwapTimeout", "Trainers.grading.StalenessBound", "Trainers.grading.Scorer"})
}

// TestParseBoundsNesting guards against a deeply nested document in force whose parsing stalls every instance for
// seconds.
func TestParseBoundsNesting(t *testing.T) {
	for _, text := range []string{strings.Repeat("[", 100_000), strings.Repeat("[\n", 50_000), strings.Repeat("- ", 50_000)} {
		begin := time.Now()
		_, err := jujubedocument.Parse("f.yaml", []byte(text))
		_, ok := jujubedocument.IsErrDocument(err)
		assert.Assert(t, ok && time.Since(begin) < time.Second, "%s: %v", time.Since(begin), err)
	}
}

// TestParseRefusesShareSum guards against shares of two trainers that add up to more than all of a model's engines.
func TestParseRefusesShareSum(t *testing.T) {
	second := strings.Replace(valid[strings.Index(valid, "  grading"):], "grading", "other", 1)
	_, err := jujubedocument.Parse("f.yaml", []byte(valid+strings.Replace(second, "50%", "51%", 1)))
	assert.ErrorContains(t, err, "f.yaml:2:3: Models.dan-llm: the shares of its trainers add up to 101%")
	_, err = jujubedocument.Parse("f.yaml", []byte(valid+second))
	assert.NilError(t, err)
}

// TestLimitsOfExamples guards against limits that are lost or scaled incorrectly in the conversion for the decision packages,
// and against examples that the program refuses.
func TestLimitsOfExamples(t *testing.T) {
	for file, name := range map[string]model.ModelName{"vatuwaqa.yaml": "faultserve", "himal-dan.yaml": "dan-llm"} {
		data, err := os.ReadFile("../../../examples/" + file)
		assert.NilError(t, err)
		document, err := jujubedocument.Parse(file, data)
		assert.NilError(t, err)
		assert.Equal(t, document.Limits().Models[name].SwapTimeout, 40*time.Second)
		assert.Equal(t, len(jujubedocument.Diff(document, document)), 0)
	}
	document, err := jujubedocument.Parse("f.yaml", []byte(valid))
	assert.NilError(t, err)
	limits := document.Limits()
	assert.DeepEqual(t, limits.Trainers["grading"], model.TrainerLimits{
		Model: "dan-llm", Share: 0.5, MaxInFlight: 16, Scorer: "scorer", StepDeadline: 5 * time.Minute,
	})
	assert.DeepEqual(t, limits.Services["scorer"].NonIdempotentMethods, []string{"POST", "PATCH"})
}

// TestDiff guards against a diff that omits a changed, added or removed value.
func TestDiff(t *testing.T) {
	from, err := jujubedocument.Parse("f.yaml", []byte(valid))
	assert.NilError(t, err)
	text := strings.NewReplacer("50%", "25%", "    Scorer: scorer\n", "").Replace(valid) + "Callers:\n  desk: {RequestsPerSecond: 2.5, MaxInFlight: 3}\n"
	to, err := jujubedocument.Parse("f.yaml", []byte(text))
	assert.NilError(t, err)
	assert.DeepEqual(t, jujubedocument.Diff(from, to), []jujubedocument.Change{
		{Key: "Callers.desk.MaxInFlight", To: "3"},
		{Key: "Callers.desk.RequestsPerSecond", To: "2.5"},
		{Key: "Trainers.grading.Scorer", From: "scorer"},
		{Key: "Trainers.grading.Share", From: "50%", To: "25%"},
	})
	assert.Assert(t, jujubedocument.Digest([]byte(valid)) != jujubedocument.Digest([]byte(valid+"\n")))
}
