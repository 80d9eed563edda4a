package jujubeyaml

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// Check validates target by its `validate` struct tags and returns the violations, with the positions that Decode returned.
// rules adds custom rules for single values by tag name.
func Check(target any, positions Positions, rules map[string]func(value reflect.Value) bool) ([]Problem, error) {
	validate := validator.New(validator.WithRequiredStructEnabled())
	for name, rule := range rules {
		err := validate.RegisterValidation(name, func(level validator.FieldLevel) bool { return rule(level.Field()) })
		if err != nil {
			return nil, errors.Wrapf(err, "register rule %s", name)
		}
	}
	err := validate.Struct(target)
	if err == nil {
		return nil, nil
	}
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return nil, errors.Wrap(err, "check struct tags")
	}
	var problems []Problem
	for _, violation := range violations {
		_, path, _ := strings.Cut(violation.Namespace(), ".")
		path = strings.NewReplacer("[", ".", "]", "").Replace(path)
		position := positions.Find(path)
		problems = append(problems, Problem{Line: position.Line, Column: position.Column, Key: path, Reason: describe(violation)})
	}
	return problems, nil
}

// describe returns the reason of a violation.
func describe(violation validator.FieldError) string {
	value := fmt.Sprint(violation.Value())
	switch violation.Tag() {
	case "required":
		return "is required"
	case "min", "gte":
		return value + " is below the minimum, " + violation.Param()
	case "max", "lte":
		return value + " is above the maximum, " + violation.Param()
	case "gt":
		return value + " must be greater than " + violation.Param()
	case "oneof":
		return value + " must be one of " + violation.Param()
	}
	if violation.Param() != "" {
		return fmt.Sprintf("%q violates the rule %s=%s", value, violation.Tag(), violation.Param())
	}
	return fmt.Sprintf("%q violates the rule %s", value, violation.Tag())
}
