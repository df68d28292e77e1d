;; Rejects requests of one class during a period. Settings: class, from, until (dates), wait (seconds).
(module
  (import "calicomast" "setting" (func $setting (param i32 i32 i32 i32) (result i32)))
  (import "calicomast" "setting_number" (func $number (param i32 i32) (result f64)))
  (memory (export "memory") 1)
  (global (export "calicomast_abi") i32 (i32.const 1))
  (global (export "calicomast_input") i32 (i32.const 4096))
  (global (export "calicomast_input_size") i32 (i32.const 32768))

  (data (i32.const 0) "class")
  (data (i32.const 8) "from")
  (data (i32.const 16) "until")
  (data (i32.const 24) "wait")
  (data (i32.const 512) "refuse ")        ;; followed by the wait, at 519

  (global $ready (mut i32) (i32.const 0)) ;; whether init has read the settings, which never change
  (global $from (mut f64) (f64.const 0))
  (global $until (mut f64) (f64.const 0))
  (global $class (mut i32) (i32.const 0)) ;; length of the class at 1024
  (global $wait (mut i32) (i32.const 0))  ;; length of the wait at 519

  (func $init
    (global.set $ready (i32.const 1))
    (global.set $from (call $number (i32.const 8) (i32.const 4)))
    (global.set $until (call $number (i32.const 16) (i32.const 5)))
    (global.set $class (call $setting (i32.const 0) (i32.const 5) (i32.const 1024) (i32.const 64)))
    (global.set $wait (call $setting (i32.const 24) (i32.const 4) (i32.const 519) (i32.const 32)))
    (if (i32.or (i32.lt_s (global.get $wait) (i32.const 0)) (i32.gt_s (global.get $wait) (i32.const 32)))
      (then (global.set $wait (i32.const 0)))))

  ;; Return whether the request's class, which is the fourth string, equals the class in the settings.
  (func $is_class (result i32)
    (local $ptr i32) (local $i i32)
    (if (i32.ne (i32.load (i32.const 4180)) (global.get $class)) (then (return (i32.const 0))))
    (local.set $ptr (i32.load (i32.const 4176)))
    (block $same
      (loop $next
        (br_if $same (i32.ge_s (local.get $i) (global.get $class)))
        (if (i32.ne (i32.load8_u (i32.add (local.get $ptr) (local.get $i)))
                    (i32.load8_u (i32.add (i32.const 1024) (local.get $i))))
          (then (return (i32.const 0))))
        (local.set $i (i32.add (local.get $i) (i32.const 1)))
        (br $next)))
    (i32.const 1))

  (func (export "on_request") (param $length i32) (result i64)
    (local $now f64)
    (if (i32.eqz (global.get $ready)) (then (call $init)))
    (local.set $now (f64.load (i32.const 4104)))
    ;; A date that is not set is NaN, which compares as false.
    (if (i32.eqz (i32.and (f64.ge (local.get $now) (global.get $from))
                          (f64.lt (local.get $now) (global.get $until))))
      (then (return (i64.const 0))))
    (if (i32.eqz (call $is_class)) (then (return (i64.const 0))))
    (i64.or (i64.const 0x20000000000) (i64.extend_i32_u (i32.add (i32.const 7) (global.get $wait)))))

  ;; Without its settings the module would have no effect, so loading it must fail.
  (func (export "self_test") (result i32)
    (call $init)
    (if (f64.ne (global.get $from) (global.get $from)) (then (return (i32.const 1))))
    (if (f64.ne (global.get $until) (global.get $until)) (then (return (i32.const 2))))
    (if (i32.lt_s (global.get $class) (i32.const 1)) (then (return (i32.const 3))))
    (i32.const 0)))
