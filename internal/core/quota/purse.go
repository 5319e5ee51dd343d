package quota

import (
	"math"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// demandHorizon is the time for which an instance draws tokens in advance, and
	// demandMemory the time over which it measures the demand.
	demandHorizon = 200 * time.Millisecond
	demandMemory  = time.Second
	// maxDraw is the most tokens of one draw.
	maxDraw = 256
	// minBlock and maxBlock bound the time until the next draw after one that found no
	// token. The lower bound doubles with each, up to longBlock, so that a tenant far
	// above its limit costs few messages.
	minBlock  = 50 * time.Millisecond
	longBlock = 400 * time.Millisecond
	maxBlock  = 2 * time.Second
)

// Purse holds the tokens that one instance has drawn and not used. It is not safe for
// concurrent use. The zero value is not usable; NewPurse makes one.
type Purse struct{ holdings map[model.TenantID]*holding }

// holding is the state of one tenant in a Purse.
type holding struct {
	grants []grant
	// blockedUntil is the time before which no draw is made. emptyDraws counts the
	// draws without a token since the last one with tokens.
	blockedUntil time.Time
	emptyDraws   int
	// demand is the number of operations within demandMemory, which fades, as of a time.
	demand     float64
	demandAsOf time.Time
}

// grant is a number of tokens with the time at which they lapse.
type grant struct {
	tokens  int
	expires time.Time
}

// NewPurse returns an empty Purse.
func NewPurse() *Purse { return &Purse{holdings: map[model.TenantID]*holding{}} }

// of returns the state of a tenant, which is added if there is none.
func (p *Purse) of(tenant model.TenantID) *holding {
	h, found := p.holdings[tenant]
	if !found {
		h = &holding{}
		p.holdings[tenant] = h
	}
	return h
}

// CountDemand counts one operation of a tenant for the size of the next draws.
func (p *Purse) CountDemand(now time.Time, tenant model.TenantID) {
	h := p.of(tenant)
	h.fade(now)
	h.demand++
}

func (h *holding) fade(now time.Time) {
	h.demand *= math.Exp(-now.Sub(h.demandAsOf).Seconds() / demandMemory.Seconds())
	h.demandAsOf = now
}

// Take removes a token of a tenant. It returns false if there is none.
func (p *Purse) Take(now time.Time, tenant model.TenantID) bool {
	h := p.of(tenant)
	for len(h.grants) > 0 {
		first := &h.grants[0]
		if first.tokens > 0 && now.Before(first.expires) {
			first.tokens--
			return true
		}
		h.grants = h.grants[1:]
	}
	return false
}

// Want returns how many tokens the next draw of a tenant asks for, while a number of
// operations wait.
func (p *Purse) Want(now time.Time, tenant model.TenantID, waiting int) int {
	h := p.of(tenant)
	h.fade(now)
	return min(waiting+int(h.demand*demandHorizon.Seconds()/demandMemory.Seconds()), maxDraw)
}

// Add adds the tokens of a draw, which lapse at a time.
func (p *Purse) Add(tenant model.TenantID, tokens int, expires time.Time) {
	h := p.of(tenant)
	h.grants = append(h.grants, grant{tokens: tokens, expires: expires})
	h.emptyDraws = 0
}

// Block records a draw without a token: until some time near next has passed, the
// operations of the tenant are refused. spread, from 0 to 1, differs between instances
// and draws, so that they do not return together.
func (p *Purse) Block(now time.Time, tenant model.TenantID, next time.Duration, spread float64) {
	h := p.of(tenant)
	atLeast := min(minBlock<<min(h.emptyDraws, 8), longBlock)
	h.emptyDraws++
	block := min(max(next, atLeast), maxBlock)
	h.blockedUntil = now.Add(time.Duration((0.5 + spread) * float64(block)))
}

// BlockedFor returns the time until the next draw of a tenant, or zero if there may be one.
func (p *Purse) BlockedFor(now time.Time, tenant model.TenantID) time.Duration {
	return max(0, p.of(tenant).blockedUntil.Sub(now))
}

// Retain removes the state of all tenants that keep does not select.
func (p *Purse) Retain(keep func(model.TenantID) bool) {
	for tenant := range p.holdings {
		if !keep(tenant) {
			delete(p.holdings, tenant)
		}
	}
}
