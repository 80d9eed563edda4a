package jujubebatch_test

import (
	"testing"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubeorganisation"
)

// TestTextsStayInTheirOrganisation guards against an organisation that gets the text of another one, whose items have the same ids, and
// against runs that don't name the submission's organisation.
func TestTextsStayInTheirOrganisation(t *testing.T) {
	for name, c := range map[string]struct {
		second model.OrganisationName
		after  int
	}{
		"same": {"a", 5}, "other": {"b", 0}, "none": {"", 0},
	} {
		ts := newTestScheduler(t, 0)
		ts.putSoftware(0, 1, "v1")
		first, second := newSubmission("s", 1, "a"), newSubmission("s", 1, "a")
		first.Organisation, second.Organisation, second.ID = "a", c.second, "s2"
		ts.accept(first)
		ts.breakAfter(5)
		ts.Apply(ts.now, &jujubebatch.Entry{End: &jujubebatch.End{Submission: "s"}})
		ts.putSoftware(1, 1, "v1")
		ts.accept(second)
		starts := tick[jujubebatch.StartRun](ts)
		assert.Equal(t, len(starts), 1, name)
		assert.Check(t, starts[0].After == c.after && starts[0].Organisation == c.second && !starts[0].IsEnforced, "%s: %+v", name, starts[0])
		origin, ok := ts.Origin("s2")
		assert.Check(t, ok && origin.Organisation == c.second && origin.Host == second.Host, "%s: %+v", name, origin)
	}
}

// TestRunsAreEnforced guards against an item of a submission without an organisation whose headers name one.
func TestRunsAreEnforced(t *testing.T) {
	ts := newTestScheduler(t, 1)
	directory, err := jujubeorganisation.NewDirectory([]jujubeorganisation.Organisation{{Name: "a"}})
	assert.NilError(t, err)
	desired := testDesired()
	desired.Organisations = directory
	ts.SetDesired(desired)
	ts.accept(newSubmission("s", 1, "a"))
	starts := tick[jujubebatch.StartRun](ts)
	assert.Assert(t, len(starts) == 1 && starts[0].IsEnforced && starts[0].Organisation == "")
}
