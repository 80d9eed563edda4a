package jujubemember

import (
	"encoding/json"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
)

// A member's rumour version is, from the highest bit: incarnation (42 bits), leaving (1), refutation (18), rank (2). So a
// higher incarnation replaces any state of a lower one, leaving is never taken back within an incarnation, and only a
// higher refutation, which the member alone issues, ends a suspicion or a death.
const (
	rankBits         = 2
	refutationBits   = 18
	leavingShift     = rankBits + refutationBits
	incarnationShift = leavingShift + 1
	maxRefutation    = 1<<refutationBits - 1
)

const (
	rankAlive   = 1
	rankSuspect = 2
	rankDead    = 3
)

// standing is what the version of a member's rumour says.
type standing struct {
	incarnation model.Incarnation
	leaving     bool
	refutation  int64
	rank        int64
}

func (s standing) version() int64 {
	version := int64(s.incarnation)<<incarnationShift | min(s.refutation, maxRefutation)<<rankBits | s.rank
	if s.leaving {
		version |= 1 << leavingShift
	}
	return version
}

func parseStanding(version int64) standing {
	return standing{
		incarnation: model.Incarnation(version >> incarnationShift),
		leaving:     version>>leavingShift&1 == 1,
		refutation:  version >> rankBits & maxRefutation,
		rank:        version & (1<<rankBits - 1),
	}
}

// state gives Leaving precedence over Suspect, so that a suspected leaving member is not taken for a returning one.
func (s standing) state() model.MemberState {
	switch {
	case s.rank == rankDead:
		return model.MemberDead
	case s.leaving:
		return model.MemberLeaving
	case s.rank == rankSuspect:
		return model.MemberSuspect
	default:
		return model.MemberAlive
	}
}

// memberPayload has short names because it is sent with each change of a member.
type memberPayload struct {
	DataCentre    model.DataCentre `json:"D"`
	PeerAddress   string           `json:"P"`
	CallerAddress string           `json:"C"`
}

func newMemberRumour(member model.Member, s standing) model.Rumour {
	payload, err := json.Marshal(memberPayload{member.DataCentre, member.PeerAddress, member.CallerAddress})
	if err != nil {
		payload = []byte("{}") // strings always marshal
	}
	return model.Rumour{Kind: model.RumourMember, Key: string(member.ID), Version: s.version(), Payload: payload}
}

func parseMemberRumour(rumour model.Rumour) (model.Member, error) {
	var payload memberPayload
	if err := json.Unmarshal(rumour.Payload, &payload); err != nil {
		return model.Member{}, errors.Wrap(err, "member rumour")
	}
	s := parseStanding(rumour.Version)
	if s.rank == 0 || rumour.Key == "" {
		return model.Member{}, errors.New("member rumour without rank or key")
	}
	return model.Member{
		ID: model.InstanceID(rumour.Key), Incarnation: s.incarnation, DataCentre: payload.DataCentre,
		PeerAddress: payload.PeerAddress, CallerAddress: payload.CallerAddress,
		State: s.state(), Refutation: s.refutation,
	}, nil
}
