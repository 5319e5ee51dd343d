package event

import (
	"regexp"
	"testing"
)

// areaNumbers holds the first number of the area of each table in areas. The last
// seven are second tables of the areas 600, 900, 100, 700, 400, 200 and 500.
var areaNumbers = []int{100, 200, 300, 400, 500, 600, 700, 800, 900, 600, 900, 100, 700, 400, 200, 500}

const areaSize = 100

func TestNumbersAreInTheRangeOfTheirArea(t *testing.T) {
	if len(areas) != len(areaNumbers) {
		t.Fatalf("%d tables but %d ranges", len(areas), len(areaNumbers))
	}
	for i, area := range areas {
		for _, e := range area {
			if e.Number < areaNumbers[i] || e.Number >= areaNumbers[i]+areaSize {
				t.Errorf("%d %s is outside the range %d to %d", e.Number, e.Name, areaNumbers[i], areaNumbers[i]+areaSize-1)
			}
		}
	}
}

func TestCatalogueIsWellFormed(t *testing.T) {
	name := regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
	word := regexp.MustCompile(`^[a-z]+$`)
	sentence := regexp.MustCompile(`^[A-Z].*\.$`)
	numbers, names := map[int]string{}, map[string]int{}
	for _, e := range Catalogue() {
		if other, found := numbers[e.Number]; found {
			t.Errorf("%d is the number of both %s and %s", e.Number, other, e.Name)
		}
		if other, found := names[e.Name]; found {
			t.Errorf("%s is the name of both %d and %d", e.Name, other, e.Number)
		}
		numbers[e.Number], names[e.Name] = e.Name, e.Number
		if !name.MatchString(e.Name) || !sentence.MatchString(e.Text) {
			t.Errorf("%d: name %q, text %q", e.Number, e.Name, e.Text)
		}
		fields := map[string]bool{}
		for _, field := range e.Fields {
			if !word.MatchString(field) || fields[field] {
				t.Errorf("%d %s: field %q is not a single word or is a duplicate", e.Number, e.Name, field)
			}
			fields[field] = true
		}
	}
}
