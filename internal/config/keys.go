package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// keyPaths returns the paths of all keys of an object, such as "settings.requestClasses[].name". A path into an array is
// returned only if all its elements have it. A key with the value null is left out, since it would be read as 0.
func keyPaths(v any) map[string]bool {
	paths := map[string]bool{}
	switch v := v.(type) {
	case map[string]any:
		for name, inner := range v {
			if inner == nil {
				continue
			}
			paths[name] = true
			for path := range keyPaths(inner) {
				if !strings.HasPrefix(path, "[]") {
					path = "." + path
				}
				paths[name+path] = true
			}
		}
	case []any:
		for i, element := range v {
			inner := keyPaths(element)
			if i == 0 {
				for path := range inner {
					paths["[]."+path] = true
				}
				paths["[]"] = true
			}
			maps.DeleteFunc(paths, func(path string, _ bool) bool { return path != "[]" && !inner[strings.TrimPrefix(path, "[].")] })
		}
	}
	return paths
}

// Values of the tag "need": the key is optional in any file; it is required only if the platform's file is read; it is
// required, but the keys of its elements are checked elsewhere.
const needOptional, needPlatform, needShallow = "optional", "platform", "shallow"

// missingKey returns the path of the first key that a type requires and that is not in keys, or "" if there is none. prefix
// is the path of the type, and withPlatform reports whether the platform's file is read.
func missingKey(t reflect.Type, prefix string, keys map[string]bool, withPlatform bool) string {
	for _, f := range reflect.VisibleFields(t) {
		name, need := f.Tag.Get("json"), f.Tag.Get("need")
		if name == "" || need == needOptional || need == needPlatform && !withPlatform {
			continue
		}
		path := prefix + name
		if !keys[path] {
			return path
		}
		inner := f.Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		path += "."
		if inner.Kind() == reflect.Slice {
			inner, path = inner.Elem(), prefix+name+"[]."
			if !keys[prefix+name+"[]"] {
				continue
			}
		}
		if inner.Kind() == reflect.Struct && need != needShallow {
			if key := missingKey(inner, path, keys, withPlatform); key != "" {
				return key
			}
		}
	}
	return ""
}

// CheckReplacement returns an error if the configuration must not replace the previous one: a key that the previous one has and this
// one lacks shows that the file was truncated or damaged. The dispatchers known at the start may differ.
func (c *Config) CheckReplacement(previous *Config) error {
	for _, path := range slices.Sorted(maps.Keys(previous.keys)) {
		if !c.keys[path] && !strings.HasPrefix(path, "known.") && !strings.HasSuffix(path, "[]") {
			return fmt.Errorf("configuration: %s is missing, but the previous configuration has it", path)
		}
	}
	return nil
}
